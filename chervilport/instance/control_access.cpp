#include "chervilport/instance/control_access.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <array>

namespace chervilport {

namespace {

    constexpr std::array<std::string_view, 3> operatorPaths { "/v1/config", "/v1/upstreams", "/v1/members" };

    bool isForOperators(const http_request& request)
    {
        return std::any_of(operatorPaths.begin(), operatorPaths.end(),
            [&](std::string_view path) { return std::string_view(request.target).starts_with(path); });
    }

} // namespace

void checkControlAccess(const access_policy& policy, http_request& request)
{
    std::erase_if(request.headers,
        [](const http_header& header) { return equalHeaderNames(header.name, callerWorkspaceHeader); });
    const auto caller = verifyCaller(policy, findHeader(request.headers, "Authorization"));
    if (!caller.workspace.empty() && isForOperators(request))
        throw chervilport_error(error_kind::Forbidden, "this call requires an operator token");
    if (!caller.workspace.empty())
        request.headers.push_back({ std::string(callerWorkspaceHeader), caller.workspace });
}

void checkCallerWorkspace(const http_request& request, std::string_view workspace)
{
    const auto bound = findHeader(request.headers, callerWorkspaceHeader);
    if (!bound.empty() && bound != workspace)
        throw chervilport_error(
            error_kind::Forbidden, "the token does not belong to workspace " + std::string(workspace));
}

} // namespace chervilport
