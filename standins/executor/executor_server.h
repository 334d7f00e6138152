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

/// HTTP listener for tests of faults: unlike http_listener, it can close a connection without a response or within one.
class executor_server {
public:
    /// Answers one request. If it is destroyed without a call, the connection closes without a response.
    struct responder {
        /// Sends a complete response.
        std::function<void(http_response)> send;
        /// Sends the response without the second half of its body and closes the connection.
        std::function<void(http_response)> sendTruncated;
    };

    /// Is called with each complete request.
    using handler = std::function<void(const http_request&, const responder&)>;

    /// Opens the listener on a free port of the loopback address.
    executor_server(asio::io_context&, handler);
    ~executor_server();

    /// Returns the bound port.
    std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
