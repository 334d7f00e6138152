#pragma once

#include "chervilport/routing/upstream_announcement.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Parses an announcement of an executor as sent to `POST /v1/announce`: `{address, kind: "executor", failure_domain,
/// incarnation, sequence, state: ready|leaving|gone, service, slots, connections}`. Throws chervilport_error of kind
/// InvalidRequest that names the invalid member.
upstream_announcement parseExecutorAnnouncement(std::string_view body);

/// Formats an announcement in the same form, to propagate it within the failure domain.
std::string formatExecutorAnnouncement(const upstream_announcement&);

} // namespace chervilport
