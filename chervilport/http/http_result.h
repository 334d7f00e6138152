#pragma once

#include "chervilport/http/http_message.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Delivery state of an outgoing request. Only `NotSent` proves that the upstream did not run it.
enum class http_delivery : std::uint8_t {
    /// No byte of the request was written to the upstream.
    NotSent,
    /// Some or all bytes may have been written, and no complete response was received.
    MaybeSent,
    /// A complete response was received.
    Complete,
};

/// Reason why an outgoing request ended without a complete response.
enum class http_failure : std::uint8_t {
    /// No failure.
    None,
    /// No connection could be established.
    ConnectFailed,
    /// The timeout of the request expired.
    TimedOut,
    /// The request was cancelled by its sender.
    Cancelled,
    /// The connection ended before any byte of the response.
    NoResponse,
    /// The connection ended within the response, or the response had no length by which its end is recognized.
    Truncated,
    /// The response was larger than allowed.
    TooLarge,
    /// The response was not valid HTTP, or another error of the transfer occurred.
    Invalid,
};

/// The result of an outgoing request.
struct http_result {
    /// Delivery state.
    http_delivery delivery = http_delivery::NotSent;
    /// Reason of the failure; `None` if and only if the delivery is `Complete`.
    http_failure failure = http_failure::None;
    /// The response; empty unless the delivery is `Complete`.
    http_response response;
    /// Description of the failure for logs and messages.
    std::string detail;
};

} // namespace chervilport
