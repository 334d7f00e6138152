#pragma once

#include "chervilport/http/http_message.h"
#include "chervilport/requests/access_policy.h"

#include <string_view>

namespace chervilport {

/// Header that carries the workspace of an authenticated caller to the instance that serves the call.
inline constexpr std::string_view callerWorkspaceHeader = "Chervilport-Caller-Workspace";

/// Authenticates the caller of the control interface and sets `callerWorkspaceHeader` to the workspace of its token.
/// A value that the caller sent itself is removed. Configuration, drains of upstreams and changes of members require an
/// operator token; announcements accept any token. Throws chervilport_error of kind Unauthenticated or Forbidden.
void checkControlAccess(const access_policy&, http_request&);

/// Throws chervilport_error of kind Forbidden when the caller is restricted to another workspace.
void checkCallerWorkspace(const http_request&, std::string_view workspace);

} // namespace chervilport
