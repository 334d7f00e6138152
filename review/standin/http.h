#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

/// Header fields; names are in lower case when received.
using header_fields = std::map<std::string, std::string>;

/// A request of HTTP/1.1.
struct http_request {
    std::string method;
    std::string target;
    header_fields headers;
    std::string body;
};

/// A response; status 0 means that none arrived.
struct http_response {
    int status = 0;
    std::string body;
    header_fields headers;
};

/// Sends a request to `ip:port` on a new connection and waits for the response. Returns status 0 when none arrives in
/// time.
http_response call(const std::string& address, const http_request&, std::chrono::milliseconds timeout);

/// A listener with one thread per connection.
class http_listener {
public:
    /// Answers a request; nothing closes the connection without a response.
    using handler = std::function<std::optional<http_response>(const http_request&)>;

    /// Listens on a free port of the address. Throws std::runtime_error.
    http_listener(const std::string& ip, handler);
    ~http_listener();

    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Returns the address as `ip:port`.
    const std::string& address() const { return m_address; }

    /// Closes all open connections; the listener stays open.
    void closeConnections();

private:
    struct state;

    std::string m_address;
    std::shared_ptr<state> m_state;
};

/// Returns whether `ip:port` can be bound.
bool isFree(const std::string& ip, std::uint16_t port);

} // namespace review
