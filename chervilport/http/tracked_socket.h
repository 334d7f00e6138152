#pragma once

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace chervilport {

class tracked_socket;

/// The open sockets of all listeners of an io_context. A graceful shutdown uses it to close idle connections, for which
/// RESTinio has no function.
class socket_registry : public asio::execution_context::service {
public:
    /// Identifies the service within its io_context.
    static asio::execution_context::id id;

    /// Creates the service; called by Asio.
    explicit socket_registry(asio::execution_context&);

    /// Removes all sockets; called by Asio.
    void shutdown() override;

    /// Adds a socket by its endpoints.
    void add(tracked_socket&);
    /// Removes a socket.
    void remove(tracked_socket&);
    /// Returns the socket of a listener's port that is connected to the endpoint; null if there is none.
    tracked_socket* find(std::uint16_t localPort, const asio::ip::tcp::endpoint& remote) const;
    /// Returns the number of open sockets of a listener's port.
    std::size_t count(std::uint16_t localPort) const;
    /// Calls the function for each socket of a listener's port.
    void forEach(std::uint16_t localPort, const std::function<void(tracked_socket&)>&) const;

private:
    using key = std::pair<std::uint16_t, asio::ip::tcp::endpoint>;
    std::uint64_t m_lastSerial = 0;
    std::map<key, tracked_socket*> m_sockets;
    /// Number of sockets by port.
    std::map<std::uint16_t, std::size_t> m_counts;
};

/// A TCP socket that records whether a request is being read from it or answered on it.
class tracked_socket : public asio::ip::tcp::socket {
public:
    /// Creates a closed socket.
    explicit tracked_socket(asio::io_context&);
    tracked_socket(tracked_socket&&) noexcept;
    tracked_socket& operator=(tracked_socket&&) noexcept;
    ~tracked_socket();

    tracked_socket(const tracked_socket&) = delete;
    tracked_socket& operator=(const tracked_socket&) = delete;

    /// Reads as the base class does and records that bytes were received.
    template <typename Buffers, typename Handler> auto async_read_some(const Buffers& buffers, Handler&& handler)
    {
        track();
        const auto executor = asio::get_associated_executor(handler, get_executor());
        return asio::ip::tcp::socket::async_read_some(buffers,
            asio::bind_executor(executor,
                [this, inner = std::forward<Handler>(handler)](
                    const asio::error_code& error, std::size_t length) mutable {
                    // The inner handler owns the connection, and with it this socket.
                    if (!error && length > 0)
                        m_isReading = true;
                    inner(error, length);
                }));
    }

    /// Returns the number of the connection; unlike the endpoints it is never reused.
    std::uint64_t serial() const { return m_serial; }
    /// Records that a complete request was read.
    void beginRequest();
    /// Records that a request was answered.
    void endRequest();
    /// Returns whether no request is being read or answered.
    bool isIdle() const { return !m_isReading && m_requests == 0; }
    /// Shuts down the receiving side, so that the pending read ends and RESTinio closes the connection.
    void closeIdle();

private:
    friend class socket_registry;

    void track();

    socket_registry* m_registry = nullptr;
    std::pair<std::uint16_t, asio::ip::tcp::endpoint> m_key;
    std::uint64_t m_serial = 0;
    bool m_isReading = false;
    std::size_t m_requests = 0;
};

} // namespace chervilport
