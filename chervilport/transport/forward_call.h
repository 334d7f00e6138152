#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/core/run_outcome.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace chervilport {

/// A header of a forwarded call or of its response.
struct forward_header {
    /// Name as received.
    std::string name;
    /// Value as received.
    std::string value;

    friend bool operator==(const forward_header&, const forward_header&) = default;
};

/// A call that is forwarded to another instance.
struct forward_call {
    /// HTTP method.
    std::string method;
    /// Path with query.
    std::string path;
    /// Headers, in order.
    std::vector<forward_header> headers;
    /// Body.
    std::string body;
    /// Time that remains until the caller's deadline. The sender subtracts the time spent in its own queue.
    std::chrono::milliseconds remaining { 0 };

    friend bool operator==(const forward_call&, const forward_call&) = default;
};

/// The response of the other instance.
struct forward_response {
    /// HTTP status.
    std::uint16_t status = 0;
    /// Headers, in order.
    std::vector<forward_header> headers;
    /// Body.
    std::string body;

    friend bool operator==(const forward_response&, const forward_response&) = default;
};

/// Why a forwarded call has no response.
struct forward_failure {
    /// `Unavailable`, `Overloaded` or `DeadlineExceeded` with outcome `NotRun`; otherwise `OutcomeUnknown`.
    error_kind kind = error_kind::Unavailable;
    /// `NotRun` when the peer cannot have received any part of the call, otherwise `Unknown`.
    run_outcome outcome = run_outcome::NotRun;
    /// Reason for logs and the error body.
    std::string reason;

    friend bool operator==(const forward_failure&, const forward_failure&) = default;
};

/// The result of a forwarded call at its sender.
using forward_result = std::variant<forward_response, forward_failure>;

/// Receives the result of a forwarded call. Called exactly once, on the transport thread or on the thread that calls
/// `peer_transport::forward` or `peer_transport::stop`.
using forward_callback = std::function<void(forward_result)>;

/// The receiver did not run the call and will not run it.
struct forward_refusal {
    /// Reason for logs.
    std::string reason;

    friend bool operator==(const forward_refusal&, const forward_refusal&) = default;
};

/// The reply of the receiving instance to a call.
using forward_reply = std::variant<forward_response, forward_refusal>;

/// Replies to a received call. Safe on any thread; only the first reply counts. If all copies are destroyed without a
/// reply, the sender receives the outcome `Unknown` at once.
using forward_responder = std::function<void(forward_reply)>;

} // namespace chervilport
