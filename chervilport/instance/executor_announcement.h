#pragma once

#include "chervilport/routing/upstream_announcement.h"

#include <string_view>

namespace chervilport {

/// Reads the announcement of an executor. Throws chervilport_error of kind InvalidRequest that names the member at
/// fault.
upstream_announcement parseExecutorAnnouncement(std::string_view body);

} // namespace chervilport
