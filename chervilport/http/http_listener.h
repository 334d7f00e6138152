#pragma once

#include "chervilport/http/http_responder.h"

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

/// Limits and address of a listener.
struct http_listener_settings {
    /// IP address to bind to.
    std::string address = "127.0.0.1";
    /// TCP port; 0 lets the system choose one.
    std::uint16_t port = 0;
    /// Longest target in bytes; a longer one closes the connection.
    std::size_t maxTargetBytes = 8U << 10U;
    /// Longest value of one header field in bytes; a longer one closes the connection.
    std::size_t maxHeaderValueBytes = 8U << 10U;
    /// Largest number of header fields; more close the connection.
    std::size_t maxHeaderFields = 64;
    /// Largest body in bytes that is passed to the handler. Up to twice as much is read and answered with `too_large`;
    /// beyond that the connection is closed without reading further.
    std::uint64_t maxBodyBytes = 1U << 20U;
    /// Connections accepted at the same time; further ones wait in the backlog of the system. Must stay below the limit
    /// of open files, because RESTinio stops accepting after a failed accept.
    std::size_t maxConnections = 4096;
    /// Requests of one connection that are read before the first of them is answered. With 1, a caller that closes its
    /// sending side after the request still receives its answer.
    std::size_t maxPipelined = 1;
    /// Time for a whole request to arrive, and for an idle connection to stay open.
    std::chrono::milliseconds readTimeout { 60'000 };
    /// Time for an answer to be written.
    std::chrono::milliseconds writeTimeout { 30'000 };
    /// Time for the handler to answer; longer than any deadline, as the connection closes without an answer after it.
    std::chrono::milliseconds handleTimeout { 3'600'000 };
};

/// An HTTP/1.1 listener on an io_context that a single thread runs. All functions are called on that thread.
class http_listener {
public:
    /// Receives each whole request.
    using handler = std::function<void(http_request, http_responder)>;

    /// Creates a listener that is not yet open.
    http_listener(asio::io_context&, http_listener_settings, handler);
    ~http_listener();

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Binds and starts to accept. Throws chervilport_error of kind Unavailable if the address cannot be bound.
    void open();

    /// Returns the bound port.
    std::uint16_t port() const;

    /// Returns the number of open connections.
    std::size_t connections() const;

    /// Stops in a planned way. Accepting ends at once; every answer from now on closes its connection; connections that
    /// stay idle for `idleGrace` are closed. Calls `stopped` once no connection is left.
    void stop(std::chrono::milliseconds idleGrace, std::function<void()> stopped);

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
