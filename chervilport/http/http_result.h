#pragma once

#include "chervilport/http/http_message.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// How far an outgoing request got; the base of every truthful "not run".
enum class http_delivery : std::uint8_t {
    /// No byte of the request was written to the upstream.
    NotSent,
    /// Some or all bytes may have been written, and no whole response was received.
    MaybeSent,
    /// A whole response was received.
    Complete,
};

/// Why an outgoing request ended without a whole response.
enum class http_failure : std::uint8_t {
    /// There was no failure.
    None,
    /// No connection could be established.
    ConnectFailed,
    /// The time of the request was over.
    TimedOut,
    /// The request was cancelled by its sender.
    Cancelled,
    /// The connection ended before any byte of the response.
    NoResponse,
    /// The connection ended within the response, or the end of the response could not be recognized.
    Truncated,
    /// The response was larger than allowed.
    TooLarge,
    /// The response was not valid HTTP, or another error of the transfer occurred.
    Invalid,
};

/// The end of an outgoing request.
struct http_result {
    /// How far it got.
    http_delivery delivery = http_delivery::NotSent;
    /// Why it failed; `None` if and only if the delivery is `Complete`.
    http_failure failure = http_failure::None;
    /// The whole response; empty unless the delivery is `Complete`.
    http_response response;
    /// Description of the failure for logs and messages.
    std::string detail;
};

} // namespace chervilport
