#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// An HTTP request; header names are in lower case.
struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An HTTP response. Status 0 means that none arrived; a server sends nothing for it and closes the connection.
struct response {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An IPv4 address with a port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

/// Returns `ip:port`.
std::string toText(const endpoint&);

/// Parses `ip:port`.
endpoint parseEndpoint(const std::string& text);

/// Sends a request on a connection of its own and waits for the response.
response call(const endpoint&, const request&, std::chrono::milliseconds timeout);

/// An HTTP server with a thread for each connection.
class http_server {
public:
    using handler = std::function<response(const request&)>;

    /// Listens on an address; port 0 selects a free port.
    http_server(endpoint, handler);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the address with the port in use.
    const endpoint& address() const { return m_address; }

    /// Closes the listener and all connections, and waits for the threads.
    void stop();

private:
    void acceptLoop();
    void serve(int connection);

    endpoint m_address;
    handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace review
