#include "review/standin/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    using steady_time = std::chrono::steady_clock::time_point;

    sockaddr_in socketAddress(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    sockaddr_in parseAddress(const std::string& text)
    {
        const auto colon = text.rfind(':');
        return socketAddress(text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    }

    /// Waits until the socket is ready for the events; false when the deadline passes.
    bool waitFor(int socket, short events, steady_time deadline)
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        pollfd entry { socket, events, 0 };
        return left.count() > 0 && ::poll(&entry, 1, static_cast<int>(left.count())) == 1;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    /// Reads messages from a socket; keeps the bytes that follow a message.
    class message_reader {
    public:
        explicit message_reader(int socket)
            : m_socket(socket)
        {
        }

        /// Reads a start line, header fields and a body with a content length. False when the connection ends or the
        /// deadline passes first.
        bool read(std::string& startLine, header_fields& headers, std::string& body, steady_time deadline)
        {
            auto end = m_bytes.find("\r\n\r\n");
            while (end == std::string::npos) {
                if (!readMore(deadline))
                    return false;
                end = m_bytes.find("\r\n\r\n");
            }
            const auto head = m_bytes.substr(0, end + 2);
            m_bytes.erase(0, end + 4);
            readHead(head, startLine, headers);
            const auto found = headers.find("content-length");
            const auto length = found == headers.end() ? 0 : std::stoul(found->second);
            while (m_bytes.size() < length) {
                if (!readMore(deadline))
                    return false;
            }
            body = m_bytes.substr(0, length);
            m_bytes.erase(0, length);
            return true;
        }

    private:
        static void readHead(const std::string& head, std::string& startLine, header_fields& headers)
        {
            std::size_t begin = 0;
            while (begin < head.size()) {
                const auto end = head.find("\r\n", begin);
                const auto line = head.substr(begin, end - begin);
                const auto colon = line.find(':');
                if (begin == 0)
                    startLine = line;
                else if (colon != std::string::npos)
                    headers[lowerCase(line.substr(0, colon))] = line.substr(line.find_first_not_of(" \t", colon + 1));
                begin = end + 2;
            }
        }

        bool readMore(steady_time deadline)
        {
            if (!waitFor(m_socket, POLLIN, deadline))
                return false;
            char buffer[16384];
            const auto count = ::recv(m_socket, buffer, sizeof buffer, 0);
            if (count <= 0)
                return false;
            m_bytes.append(buffer, static_cast<std::size_t>(count));
            return true;
        }

        int m_socket;
        std::string m_bytes;
    };

    bool sendAll(int socket, const std::string& bytes, steady_time deadline)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else if (errno != EAGAIN || !waitFor(socket, POLLOUT, deadline))
                return false;
        }
        return true;
    }

    std::string writeHeaders(const header_fields& headers, std::size_t bodyBytes)
    {
        std::string text;
        for (const auto& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        return text + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    }

    int connectTo(const std::string& address, steady_time deadline)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto peer = parseAddress(address);
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        int failure = 0;
        socklen_t size = sizeof failure;
        const bool isConnected = ::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0
            || (errno == EINPROGRESS && waitFor(socket, POLLOUT, deadline)
                && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 && failure == 0);
        if (isConnected)
            return socket;
        ::close(socket);
        return -1;
    }

} // namespace

http_response call(const std::string& address, const http_request& request, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    const int socket = connectTo(address, deadline);
    if (socket < 0)
        return {};
    auto headers = request.headers;
    headers.emplace("Host", address);
    headers["Connection"] = "close";
    if (!request.body.empty())
        headers["Content-Type"] = "application/json";
    http_response response;
    std::string startLine;
    const auto bytes = request.method + ' ' + request.target + " HTTP/1.1\r\n"
        + writeHeaders(headers, request.body.size()) + request.body;
    message_reader reader(socket);
    if (sendAll(socket, bytes, deadline) && reader.read(startLine, response.headers, response.body, deadline))
        response.status = std::stoi(startLine.substr(startLine.find(' ') + 1));
    ::close(socket);
    return response;
}

struct http_listener::state {
    handler handle;
    std::mutex mutex;
    int listening = -1;
    std::set<int> connections;

    void serve(int socket)
    {
        message_reader reader(socket);
        http_request request;
        std::string startLine;
        while (reader.read(
            startLine, request.headers, request.body, std::chrono::steady_clock::now() + std::chrono::hours(1))) {
            const auto space = startLine.find(' ');
            request.method = startLine.substr(0, space);
            request.target = startLine.substr(space + 1, startLine.rfind(' ') - space - 1);
            const auto response = handle(request);
            if (!response)
                break;
            auto headers = response->headers;
            headers["Content-Type"] = "application/json";
            const auto bytes = "HTTP/1.1 " + std::to_string(response->status) + " Status\r\n"
                + writeHeaders(headers, response->body.size()) + response->body;
            if (!sendAll(socket, bytes, std::chrono::steady_clock::now() + std::chrono::seconds(5)))
                break;
            request = {};
        }
        const std::lock_guard lock(mutex);
        connections.erase(socket);
        ::close(socket);
    }
};

http_listener::http_listener(const std::string& ip, handler handle)
    : m_state(std::make_shared<state>())
{
    m_state->handle = std::move(handle);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = socketAddress(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), size) != 0 || ::listen(socket, 128) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_address = ip + ':' + std::to_string(ntohs(address.sin_port));
    m_state->listening = socket;
    std::thread([state = m_state, socket] {
        for (;;) {
            const int connection = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0) {
                ::close(socket);
                return;
            }
            const int on = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(state->mutex);
                state->connections.insert(connection);
            }
            std::thread([state, connection] { state->serve(connection); }).detach();
        }
    }).detach();
}

http_listener::~http_listener()
{
    // Ends the accept loop, which closes the socket.
    ::shutdown(m_state->listening, SHUT_RDWR);
    closeConnections();
}

void http_listener::closeConnections()
{
    const std::lock_guard lock(m_state->mutex);
    for (const int connection : m_state->connections)
        ::shutdown(connection, SHUT_RDWR);
}

bool isFree(const std::string& ip, std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(ip, port);
    const bool isBound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return isBound;
}

} // namespace review
