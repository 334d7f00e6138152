#pragma once

#include "chervilport/http/http_message.h"

#include <functional>
#include <string>
#include <string_view>

namespace chervilport {

/// What the control plane needs from the rest of the instance. Called on the control thread unless said otherwise.
struct control_plane_hooks {
    /// Sends a request to the HTTP address of a worker; its answer is not needed.
    std::function<void(const std::string& worker, http_request)> sendToWorker;
    /// Takes an announcement of an executor and returns the answer to it.
    std::function<http_response(std::string_view body)> announceExecutor;
};

} // namespace chervilport
