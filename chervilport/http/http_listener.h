#pragma once

#include "chervilport/http/http_responder.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace asio {
class io_context;
} // namespace asio

namespace chervilport {

/// Limits and address of a listener.
struct http_listener_settings {
    /// IP address to bind to.
    std::string address = "127.0.0.1";
    /// TCP port; 0 selects a free port.
    std::uint16_t port = 0;
    /// Maximum length of a target in bytes; a longer target closes the connection.
    std::size_t maxTargetBytes = 8U << 10U;
    /// Maximum length of a header field value in bytes; a longer value closes the connection.
    std::size_t maxHeaderValueBytes = 8U << 10U;
    /// Maximum number of header fields; more close the connection.
    std::size_t maxHeaderFields = 64;
    /// Maximum size of a body in bytes that is passed to the handler. A body of up to twice this size is read and
    /// answered with `too_large`; for a larger body the connection is closed without reading further.
    std::uint64_t maxBodyBytes = 1U << 20U;
    /// Maximum number of connections open at the same time; further connections wait in the listen backlog. Must be
    /// below the limit of open files, because RESTinio stops accepting after a failed accept.
    std::size_t maxConnections = 4096;
    /// Number of open connections above which each is closed after its response, so that callers who wait in the
    /// backlog are accepted.
    std::size_t maxKeptConnections = std::numeric_limits<std::size_t>::max();
    /// Maximum number of requests of one connection that are read before the first of them is answered. With 1, a
    /// caller that shuts down its sending side after the request still receives the response.
    std::size_t maxPipelined = 1;
    /// Maximum time to read a request, including the idle time before it.
    std::chrono::milliseconds readTimeout { 60'000 };
    /// Maximum time to write a response.
    std::chrono::milliseconds writeTimeout { 30'000 };
    /// Maximum time for the handler to respond. After it the connection is closed without a response, so it must exceed
    /// every deadline.
    std::chrono::milliseconds handleTimeout { 3'600'000 };
    /// Returns whether a request is dropped when its caller has already closed the connection or its sending side; null
    /// for none. A process that was suspended reads requests that their callers gave up long ago.
    std::function<bool(const http_request&)> needsCaller;
};

/// An HTTP/1.1 listener on a single-threaded io_context. All functions are called on that thread.
class http_listener {
public:
    /// Receives each complete request.
    using handler = std::function<void(http_request, http_responder)>;

    /// Creates a closed listener.
    http_listener(asio::io_context&, http_listener_settings, handler);
    ~http_listener();

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Binds and starts to accept connections. Throws chervilport_error `Unavailable` if the address cannot be bound.
    void open();

    /// Returns the bound port.
    std::uint16_t port() const;

    /// Returns the number of open connections.
    std::size_t connections() const;

    /// Shuts down gracefully. Stops accepting at once, closes each connection after its next response, and after
    /// `idleGrace` closes idle connections. Calls `stopped` once no connection is open.
    void stop(std::chrono::milliseconds idleGrace, std::function<void()> stopped);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
