#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    using deadline = std::chrono::steady_clock::time_point;

    constexpr int listenBacklog = 128;
    constexpr std::size_t readBytes = 16'384;
    constexpr int pollStepMs = 100;

    sockaddr_in socketAddress(const endpoint& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    int remainingMs(deadline end)
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
        return static_cast<int>(std::max<std::int64_t>(left, 0));
    }

    bool waitFor(int socket, short events, deadline end)
    {
        pollfd each { socket, events, 0 };
        return ::poll(&each, 1, remainingMs(end)) > 0;
    }

    bool sendAll(int socket, const std::string& bytes, deadline end)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            if (!waitFor(socket, POLLOUT, end))
                return false;
            const auto sent = ::send(socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent <= 0)
                return false;
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }

    /// A parsed header, and the position of the body.
    struct message_head {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::size_t bodyBegin = 0;
        std::size_t bodyLength = 0;
    };

    std::string lowered(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    std::optional<message_head> parseHead(const std::string& bytes)
    {
        const auto end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::nullopt;
        message_head head;
        head.bodyBegin = end + 4;
        auto line = bytes.find("\r\n");
        head.firstLine = bytes.substr(0, line);
        while (line < end) {
            const auto next = bytes.find("\r\n", line + 2);
            const auto field = bytes.substr(line + 2, next - line - 2);
            const auto colon = field.find(':');
            const auto value = colon == std::string::npos ? colon : field.find_first_not_of(' ', colon + 1);
            if (colon != std::string::npos)
                head.headers[lowered(field.substr(0, colon))]
                    = value == std::string::npos ? std::string() : field.substr(value);
            line = next;
        }
        const auto length = head.headers.find("content-length");
        if (length != head.headers.end())
            head.bodyLength = std::stoul(length->second);
        return head;
    }

    /// Reads until the buffer starts with a whole message. Returns nothing when the connection ends or time is up.
    std::optional<message_head> readMessage(int socket, std::string& buffer, deadline end)
    {
        while (true) {
            auto head = parseHead(buffer);
            if (head && buffer.size() >= head->bodyBegin + head->bodyLength)
                return head;
            if (!waitFor(socket, POLLIN, end))
                return std::nullopt;
            std::string part(readBytes, '\0');
            const auto count = ::recv(socket, part.data(), part.size(), 0);
            if (count <= 0)
                return std::nullopt;
            buffer.append(part, 0, static_cast<std::size_t>(count));
        }
    }

    int connectTo(const endpoint& address, deadline end)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto target = socketAddress(address);
        (void)::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        int error = 0;
        socklen_t size = sizeof error;
        const bool ready = waitFor(socket, POLLOUT, end);
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (ready && error == 0)
            return socket;
        ::close(socket);
        return -1;
    }

    std::string encode(
        const std::string& firstLine, const std::map<std::string, std::string>& headers, const std::string& body)
    {
        auto text = firstLine + "\r\n";
        for (const auto& [name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text.append("content-length: ").append(std::to_string(body.size())).append("\r\n\r\n");
        return text.append(body);
    }

} // namespace

std::string toText(const endpoint& address) { return address.ip + ':' + std::to_string(address.port); }

endpoint parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))) };
}

response call(const endpoint& target, const request& sent, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    const int socket = connectTo(target, end);
    if (socket < 0)
        return {};
    auto headers = sent.headers;
    headers["connection"] = "close";
    if (!headers.contains("host"))
        headers["host"] = toText(target);
    if (!sent.body.empty())
        headers["content-type"] = "application/json";
    response result;
    std::string buffer;
    if (sendAll(socket, encode(sent.method + ' ' + sent.path + " HTTP/1.1", headers, sent.body), end)) {
        if (const auto head = readMessage(socket, buffer, end)) {
            result.status = std::stoi(head->firstLine.substr(head->firstLine.find(' ') + 1));
            result.headers = head->headers;
            result.body = buffer.substr(head->bodyBegin, head->bodyLength);
        }
    }
    ::close(socket);
    return result;
}

http_server::http_server(endpoint address, handler callback)
    : m_address(std::move(address))
    , m_handler(std::move(callback))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int enabled = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    auto bound = socketAddress(m_address);
    socklen_t size = sizeof bound;
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&bound), size) != 0 || ::listen(m_listener, listenBacklog) != 0)
        throw std::runtime_error("cannot listen on " + toText(m_address));
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
    m_address.port = ntohs(bound.sin_port);
    m_acceptor = std::thread([this] { acceptLoop(); });
}

http_server::~http_server() { stop(); }

void http_server::stop()
{
    if (m_stopped.exchange(true))
        return;
    m_acceptor.join();
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto connection : m_open)
            ::shutdown(connection, SHUT_RDWR);
    }
    for (auto& each : m_threads)
        each.join();
}

void http_server::acceptLoop()
{
    while (!m_stopped) {
        if (!waitFor(m_listener, POLLIN, std::chrono::steady_clock::now() + std::chrono::milliseconds(pollStepMs)))
            continue;
        const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        const int enabled = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        const std::lock_guard lock(m_mutex);
        m_open.push_back(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void http_server::serve(int connection)
{
    constexpr std::chrono::minutes longest { 10 };
    std::string buffer;
    while (!m_stopped) {
        const auto end = std::chrono::steady_clock::now() + longest;
        const auto head = readMessage(connection, buffer, end);
        if (!head)
            break;
        request received;
        const auto space = head->firstLine.find(' ');
        received.method = head->firstLine.substr(0, space);
        received.path = head->firstLine.substr(space + 1, head->firstLine.rfind(' ') - space - 1);
        received.headers = head->headers;
        received.body = buffer.substr(head->bodyBegin, head->bodyLength);
        buffer.erase(0, head->bodyBegin + head->bodyLength);
        auto answer = m_handler(received);
        if (answer.status == 0)
            break;
        answer.headers["content-type"] = "application/json";
        if (!sendAll(connection,
                encode("HTTP/1.1 " + std::to_string(answer.status) + " -", answer.headers, answer.body), end))
            break;
    }
    const std::lock_guard lock(m_mutex);
    std::erase(m_open, connection);
    ::close(connection);
}

} // namespace review
