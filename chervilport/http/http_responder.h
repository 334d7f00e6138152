#pragma once

#include "chervilport/http/http_message.h"

#include <functional>
#include <memory>

namespace chervilport {

/// Answers one request, once, on the thread of the io_context. Copies share their state. If the last copy is destroyed
/// without a response, the caller receives an `internal` error, so that no connection waits forever.
class http_responder {
public:
    /// Creates a responder that passes the response to the function.
    explicit http_responder(std::function<void(http_response)> send);

    /// Sends the response. Returns false without sending if the request is already answered.
    bool operator()(http_response) const;

    /// Returns whether a response was sent.
    bool isAnswered() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace chervilport
