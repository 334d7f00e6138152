#pragma once

#include "chervilport/http/http_message.h"

#include <optional>
#include <string>

namespace chervilport {

/// What became of a call that was forwarded to another instance.
struct forward_outcome {
    /// The answer of the other instance, if one arrived.
    std::optional<http_response> response;
    /// Without an answer: whether the other instance certainly did not act on the call.
    bool notRun = false;
    /// Without an answer: why.
    std::string reason;
};

} // namespace chervilport
