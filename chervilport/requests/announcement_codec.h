#pragma once

#include "chervilport/routing/upstream_announcement.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Reads an announcement of an executor as sent to `POST /v1/announce`: `{address, kind: "executor", failure_domain,
/// incarnation, sequence, state: ready|leaving|gone, service, slots, connections}`. Throws chervilport_error of kind
/// InvalidRequest that names the member at fault.
upstream_announcement parseExecutorAnnouncement(std::string_view body);

/// Writes an announcement in the same form; for propagation inside the domain.
std::string formatExecutorAnnouncement(const upstream_announcement&);

} // namespace chervilport
