#pragma once

#include "chervilport/http/http_result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
} // namespace asio

namespace chervilport {

/// Limits of a client.
struct http_client_settings {
    /// Maximum number of connections to one address at the same time; further requests wait unsent, up to their
    /// timeout. 0 for no limit.
    std::size_t maxConnectionsPerAddress = 0;
    /// Maximum number of idle connections kept open in total.
    std::size_t maxIdleConnections = 512;
    /// Maximum time to establish a connection.
    std::chrono::milliseconds connectTimeout { 1'000 };
};

/// One request to an upstream.
struct http_client_request {
    /// `ip:port` of the upstream.
    std::string address;
    /// The request to send.
    http_request request;
    /// Maximum time until the response is complete.
    std::chrono::milliseconds timeout { 30'000 };
    /// Maximum size of the response body in bytes.
    std::size_t maxResponseBytes = 4U << 20U;
    /// Whether an idle connection may be reused. If false, the request uses a new connection, which the upstream cannot
    /// close as idle while the request is sent; set it to false for requests that must not run twice.
    bool reuseConnection = true;
};

/// Sends HTTP/1.1 requests with libcurl on a single-threaded io_context. Every request is written at most once: the
/// automatic retry of libcurl after the loss of a reused connection is prevented. All functions are called on the
/// thread of the io_context.
class http_client {
public:
    /// Identifies a request until its callback has been called; never 0.
    using request_id = std::uint64_t;
    /// Receives the result of a request. Called once, and never from within send() or cancel().
    using callback = std::function<void(http_result)>;

    /// Creates a client without connections.
    explicit http_client(asio::io_context&, http_client_settings = {});
    /// Aborts all requests without calling their callbacks.
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a request.
    request_id send(http_client_request, callback);

    /// Cancels a request. Its callback receives `Cancelled`, unless the request ends before.
    void cancel(request_id);

    /// Returns the number of requests in progress.
    std::size_t inFlight() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
