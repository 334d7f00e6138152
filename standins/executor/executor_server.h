#pragma once

#include "chervilport/http/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace chervilport {

/// A listener like http_listener that can also misbehave: it closes connections without an answer or within it.
class executor_server {
public:
    /// The right to answer a request. Dropped without a call, the connection closes without an answer.
    struct responder {
        /// Sends a whole answer.
        std::function<void(http_response)> send;
        /// Sends the answer without the second half of its body and closes the connection.
        std::function<void(http_response)> sendTruncated;
    };

    /// Receives each whole request.
    using handler = std::function<void(const http_request&, const responder&)>;

    /// Opens a listener on a free port of the loopback address.
    executor_server(asio::io_context&, handler);
    ~executor_server();

    /// Returns the bound port.
    std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
