#pragma once

#include "chervilport/http/http_message.h"

#include <functional>
#include <memory>

namespace chervilport {

/// The right to answer one request, once, from the io thread. Copies share the right. If the last copy is destroyed
/// without an answer, the caller receives an `internal` error, so that no connection waits for an answer forever.
class http_responder {
public:
    /// Creates a responder that passes the answer to the function.
    explicit http_responder(std::function<void(http_response)> send);

    /// Sends the answer. Returns false, without effect, if the request was answered before.
    bool operator()(http_response) const;

    /// Returns whether an answer was sent.
    bool isAnswered() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

} // namespace chervilport
