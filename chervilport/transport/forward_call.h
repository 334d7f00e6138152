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

/// A header of a forwarded call or of its answer.
struct forward_header {
    /// Name as received.
    std::string name;
    /// Value as received.
    std::string value;

    friend bool operator==(const forward_header&, const forward_header&) = default;
};

/// A call that another instance is to answer.
struct forward_call {
    /// HTTP method.
    std::string method;
    /// Path with query.
    std::string path;
    /// Headers, in order.
    std::vector<forward_header> headers;
    /// Body.
    std::string body;
    /// Time that remains to the caller's deadline. The sender reduces it by the time spent in its own queue.
    std::chrono::milliseconds remaining { 0 };

    friend bool operator==(const forward_call&, const forward_call&) = default;
};

/// The answer of the other instance.
struct forward_response {
    /// HTTP status.
    std::uint16_t status = 0;
    /// Headers, in order.
    std::vector<forward_header> headers;
    /// Body.
    std::string body;

    friend bool operator==(const forward_response&, const forward_response&) = default;
};

/// Why a forwarded call has no answer.
struct forward_failure {
    /// `Unavailable`, `Overloaded` or `DeadlineExceeded` with outcome `NotRun`; otherwise `OutcomeUnknown`.
    error_kind kind = error_kind::Unavailable;
    /// `NotRun` when no byte of the call can have been taken up by the peer, otherwise `Unknown`.
    run_outcome outcome = run_outcome::NotRun;
    /// Text for logs and the error body.
    std::string reason;

    friend bool operator==(const forward_failure&, const forward_failure&) = default;
};

/// How a forwarded call ended at its sender.
using forward_result = std::variant<forward_response, forward_failure>;

/// Takes the end of a forwarded call; called exactly once, on the transport thread or on the thread that calls
/// `peer_transport::forward` or `peer_transport::stop`.
using forward_callback = std::function<void(forward_result)>;

/// Says that the receiver did not run the call and never will.
struct forward_refusal {
    /// Text for logs.
    std::string reason;

    friend bool operator==(const forward_refusal&, const forward_refusal&) = default;
};

/// What the receiving instance says to a call.
using forward_reply = std::variant<forward_response, forward_refusal>;

/// Answers a received call. It can be called on any thread; only the first call counts. If all copies are destroyed
/// without a call, the sender is told at once that the outcome is unknown.
using forward_responder = std::function<void(forward_reply)>;

} // namespace chervilport
