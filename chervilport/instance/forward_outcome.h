#pragma once

#include "chervilport/http/http_message.h"

#include <optional>
#include <string>

namespace chervilport {

/// Result of forwarding a call to another instance.
struct forward_outcome {
    /// Response of the other instance; absent when none arrived.
    std::optional<http_response> response;
    /// Without a response: whether the other instance certainly did not execute the call.
    bool notRun = false;
    /// Without a response: the reason.
    std::string reason;
    /// Without a response: whether too many calls were pending, which says nothing about the other instance.
    bool overloaded = false;
};

} // namespace chervilport
