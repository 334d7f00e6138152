#include "review/driver-3/http_exchange.h"

#include "review/driver-3/tcp_socket.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace chervilport::review {

namespace {

    using clock = std::chrono::steady_clock;

    /// A message of HTTP/1.1 with a body of a stated length.
    struct http_message {
        std::string firstLine;
        std::map<std::string, std::string> headers;
        std::string body;
    };

    std::string trimmed(const std::string& text)
    {
        const auto first = text.find_first_not_of(" \t\r");
        return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
    }

    std::string inLowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
        return text;
    }

    http_message parseHead(const std::string& head)
    {
        http_message message;
        std::istringstream lines(head);
        std::getline(lines, message.firstLine);
        message.firstLine = trimmed(message.firstLine);
        std::string line;
        while (std::getline(lines, line)) {
            const auto colon = line.find(':');
            if (colon != std::string::npos)
                message.headers[inLowerCase(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        return message;
    }

    std::optional<http_message> readMessage(
        const tcp_socket& socket, std::string& buffer, std::chrono::milliseconds timeout)
    {
        const auto deadline = clock::now() + timeout;
        std::optional<http_message> message;
        std::size_t length = 0;
        while (true) {
            // Take the head, and then the body, as soon as the buffer holds it.
            const auto end = buffer.find("\r\n\r\n");
            if (!message && end != std::string::npos) {
                message = parseHead(buffer.substr(0, end));
                buffer.erase(0, end + 4);
                const auto stated = message->headers.find("content-length");
                length = stated == message->headers.end() ? 0 : std::stoul(stated->second);
            }
            if (message && buffer.size() >= length) {
                message->body = buffer.substr(0, length);
                buffer.erase(0, length);
                return message;
            }
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now());
            const auto more = socket.read(std::max(left, std::chrono::milliseconds(0)));
            if (!more)
                return std::nullopt;
            buffer += *more;
        }
    }

} // namespace

std::optional<http_response> exchange(
    const std::string& address, const http_request& request, std::chrono::milliseconds timeout)
{
    const auto deadline = clock::now() + timeout;
    const auto socket = connectTo(address, timeout);
    if (!socket.isOpen())
        return std::nullopt;
    auto text = request.method + ' ' + request.path + " HTTP/1.1\r\n";
    if (!request.headers.contains("Host"))
        text += "Host: " + address + "\r\n";
    for (const auto& [name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
    if (!socket.write(text + "\r\n" + request.body))
        return std::nullopt;
    std::string buffer;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now());
    const auto message = readMessage(socket, buffer, std::max(left, std::chrono::milliseconds(0)));
    if (!message)
        return std::nullopt;
    std::istringstream line(message->firstLine);
    std::string version;
    http_response response;
    line >> version >> response.status;
    response.body = message->body;
    return response;
}

std::optional<http_request> readRequest(
    const tcp_socket& socket, std::string& buffer, std::chrono::milliseconds timeout)
{
    auto message = readMessage(socket, buffer, timeout);
    if (!message)
        return std::nullopt;
    http_request request;
    std::istringstream line(message->firstLine);
    line >> request.method >> request.path;
    request.headers = std::move(message->headers);
    request.body = std::move(message->body);
    return request;
}

bool writeResponse(const tcp_socket& socket, const http_response& response)
{
    return socket.write("HTTP/1.1 " + std::to_string(response.status) + (response.status == 200 ? " OK" : " Error")
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n"
        + response.body);
}

} // namespace chervilport::review
