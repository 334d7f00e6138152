#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace chervilport::review {

class tcp_socket;

/// An HTTP/1.1 request. Names of headers are in lower case in a request that was read.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// An HTTP/1.1 response.
struct http_response {
    int status = 0;
    std::string body;
};

/// Sends a request on a new connection. Returns nothing without a complete response within the timeout.
std::optional<http_response> exchange(
    const std::string& address, const http_request&, std::chrono::milliseconds timeout);

/// Reads the next request of a connection; `buffer` keeps what follows it. Returns nothing at the end of the stream.
std::optional<http_request> readRequest(const tcp_socket&, std::string& buffer, std::chrono::milliseconds timeout);

/// Writes a response with a JSON body. Returns whether it succeeded.
bool writeResponse(const tcp_socket&, const http_response&);

} // namespace chervilport::review
