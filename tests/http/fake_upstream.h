#pragma once

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace chervilport {

/// The action of a fake upstream for one request.
struct fake_action {
    /// Bytes written to the connection.
    std::string bytes;
    /// Whether the connection is closed afterwards.
    bool closes = false;
};

/// An upstream on a TCP socket. Reads complete requests (header and `Content-Length`) and performs the action that its
/// function returns for each.
class fake_upstream {
public:
    /// Receives the bytes of a request and the number of its connection, from 1.
    using behaviour = std::function<fake_action(const std::string& request, int connection)>;

    fake_upstream(asio::io_context& context, behaviour act)
        : m_context(context)
        , m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_act(std::move(act))
    {
        accept();
    }

    /// Returns the `ip:port` to connect to.
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    /// Returns the number of accepted connections.
    int connections() const { return m_connections; }
    /// Returns the complete requests received.
    const std::vector<std::string>& requests() const { return m_requests; }
    /// Closes each connection after this number of bytes, before the request is complete.
    void closeAfterRequestBytes(std::size_t bytes) { m_closeAfterBytes = bytes; }
    /// Writes to the newest connection without a pending request.
    void writeUnsolicited(const std::string& bytes)
    {
        asio::error_code ignored;
        asio::write(m_newest->socket, asio::buffer(bytes), ignored);
    }
    /// Closes the newest connection.
    void closeNewest() { m_newest->socket.close(); }

private:
    struct session {
        explicit session(asio::io_context& context)
            : socket(context)
        {
        }
        asio::ip::tcp::socket socket;
        std::string received;
        int number = 0;
    };

    void accept()
    {
        auto next = std::make_shared<session>(m_context);
        m_acceptor.async_accept(next->socket, [this, next](const asio::error_code& error) {
            if (error)
                return;
            next->number = ++m_connections;
            m_newest = next;
            read(next);
            accept();
        });
    }

    void read(const std::shared_ptr<session>& from)
    {
        const auto buffer = std::make_shared<std::string>(65536, '\0');
        from->socket.async_read_some(
            asio::buffer(*buffer), [this, from, buffer](const asio::error_code& error, std::size_t length) {
                if (error)
                    return;
                from->received.append(*buffer, 0, length);
                if (m_closeAfterBytes != 0 && from->received.size() >= m_closeAfterBytes) {
                    from->socket.close();
                    return;
                }
                while (takeRequest(*from)) { }
                if (from->socket.is_open())
                    read(from);
            });
    }

    bool takeRequest(session& from)
    {
        const auto headerEnd = from.received.find("\r\n\r\n");
        if (headerEnd == std::string::npos || !from.socket.is_open())
            return false;
        const auto lengthAt = from.received.find("Content-Length: ");
        std::size_t size = headerEnd + 4;
        if (lengthAt < headerEnd)
            size += std::stoul(from.received.substr(lengthAt + 16));
        if (from.received.size() < size)
            return false;
        m_requests.push_back(from.received.substr(0, size));
        from.received.erase(0, size);
        const auto action = m_act(m_requests.back(), from.number);
        asio::error_code ignored;
        asio::write(from.socket, asio::buffer(action.bytes), ignored);
        if (action.closes)
            from.socket.close(ignored);
        return true;
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    behaviour m_act;
    std::vector<std::string> m_requests;
    std::shared_ptr<session> m_newest;
    int m_connections = 0;
    std::size_t m_closeAfterBytes = 0;
};

/// Returns a complete response with a `Content-Length`.
inline std::string responseBytes(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace chervilport
