#pragma once

#include "chervilport/http/http_message.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace chervilport {

/// What the control plane needs from the rest of the instance. Called on the control thread unless said otherwise.
struct control_plane_hooks {
    /// Sends a request to the HTTP address of a worker; its answer is not needed.
    std::function<void(const std::string& worker, http_request)> sendToWorker;
    /// Takes a notice about routing from an instance of the domain, this one included.
    std::function<void(std::uint64_t instance, const std::string& notice)> receiveNotice;
    /// Tells the names of all workspaces of the environment.
    std::function<void(std::set<std::string, std::less<>>)> workspacesChanged;
    /// Tells whether this instance leads the domain, and in which term.
    std::function<void(bool leading, std::uint64_t term)> leadershipChanged;
};

} // namespace chervilport
