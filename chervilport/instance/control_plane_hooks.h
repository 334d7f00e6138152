#pragma once

#include "chervilport/http/http_message.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace chervilport {

/// Functions that the instance provides to the control plane; called on the control thread.
struct control_plane_hooks {
    /// Sends a request to the HTTP address of a worker; the response is ignored.
    std::function<void(const std::string& worker, http_request)> sendToWorker;
    /// Handles a notice about routing from an instance of the domain, which may be this one.
    std::function<void(std::uint64_t instance, const std::string& notice)> receiveNotice;
    /// Called with the names of all workspaces of the environment when another configuration document is adopted.
    std::function<void(std::set<std::string, std::less<>>)> workspacesChanged;
    /// Called when this instance starts or stops leading the domain, with the election term.
    std::function<void(bool leading, std::uint64_t term)> leadershipChanged;
};

} // namespace chervilport
