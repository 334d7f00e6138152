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
    /// Connections to one address at the same time; further requests wait, unsent, within their timeout. 0 for no
    /// limit.
    std::size_t maxConnectionsPerAddress = 0;
    /// Idle connections kept open in total.
    std::size_t maxIdleConnections = 512;
    /// Longest time to establish a connection.
    std::chrono::milliseconds connectTimeout { 1'000 };
};

/// One request to an upstream.
struct http_client_request {
    /// `ip:port` of the upstream.
    std::string address;
    /// What is sent.
    http_request request;
    /// Time until the whole response must have arrived.
    std::chrono::milliseconds timeout { 30'000 };
    /// Largest accepted body of the response in bytes.
    std::size_t maxResponseBytes = 4U << 20U;
    /// Whether an idle connection may be used. Without it the request gets a new connection, which rules out that the
    /// upstream closes it in the moment of sending; requests that must not run twice are sent so.
    bool reuseConnection = true;
};

/// Sends HTTP/1.1 requests with libcurl on an io_context that a single thread runs. Every request is written at most
/// once: libcurl's own repetition after the loss of a reused connection is prevented. All functions are called on the
/// thread of the io_context.
class http_client {
public:
    /// Identifies a request until its callback has been called; never 0.
    using request_id = std::uint64_t;
    /// Receives the end of a request, once; never called from within send() or cancel().
    using callback = std::function<void(http_result)>;

    /// Creates a client without connections.
    explicit http_client(asio::io_context&, http_client_settings = {});
    /// Drops all requests without calling their callbacks.
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a request.
    request_id send(http_client_request, callback);

    /// Ends a request early; its callback receives `Cancelled`, unless it has ended in the meantime.
    void cancel(request_id);

    /// Returns the number of requests without an end.
    std::size_t inFlight() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
