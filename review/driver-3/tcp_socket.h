#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace chervilport::review {

/// A blocking TCP connection or listener. Closed by its destructor.
class tcp_socket {
public:
    /// Takes over a descriptor; -1 for none.
    explicit tcp_socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~tcp_socket();
    tcp_socket(tcp_socket&&) noexcept;
    tcp_socket& operator=(tcp_socket&&) noexcept;
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    /// Returns whether there is a descriptor.
    bool isOpen() const { return m_descriptor >= 0; }

    /// Returns the descriptor.
    int descriptor() const { return m_descriptor; }

    /// Writes all bytes. Returns whether it succeeded.
    bool write(const std::string& bytes) const;

    /// Waits for bytes and reads some of them. Returns nothing at the end of the stream, after an error or the timeout.
    std::optional<std::string> read(std::chrono::milliseconds timeout) const;

private:
    int m_descriptor;
};

/// Connects to `ip:port`; the result is not open when this fails.
tcp_socket connectTo(const std::string& address, std::chrono::milliseconds timeout);

/// Listens on a free port of an IP address.
tcp_socket listenOn(const std::string& ip);

/// Returns the local port of a socket.
int localPortOf(const tcp_socket&);

/// Returns a port that is free on the IP address at the moment.
int findFreePort(const std::string& ip);

} // namespace chervilport::review
