#pragma once

#include "chervilport/http/http_message.h"
#include "chervilport/requests/access_policy.h"

#include <string_view>

namespace chervilport {

/// Header by which the instance that checked a caller tells the one that serves it which workspace the caller is bound
/// to.
inline constexpr std::string_view callerWorkspaceHeader = "Chervilport-Caller-Workspace";

/// Checks who calls the control interface and marks the call with the workspace that the caller is bound to. A mark
/// that the caller sent itself is removed. Configuration, drains of upstreams and changes of members are for operators;
/// announcements need any token. Throws chervilport_error of kind Unauthenticated or Forbidden.
void checkControlAccess(const access_policy&, http_request&);

/// Throws chervilport_error of kind Forbidden when the call is bound to another workspace.
void checkCallerWorkspace(const http_request&, std::string_view workspace);

} // namespace chervilport
