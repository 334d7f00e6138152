#include "chervilport/instance/message_size.h"

namespace chervilport {

namespace {

    // "HTTP/1.1", two spaces and the line end of the request line, and the empty line.
    constexpr std::size_t requestLineBytes = 14;
    // "HTTP/1.1 200 OK", line end, the headers Content-Length and Connection that the listener adds, and the empty
    // line.
    constexpr std::size_t responseLineBytes = 62;
    // Colon, space and line end.
    constexpr std::size_t headerOverhead = 4;

    std::size_t headerBytes(const std::vector<http_header>& headers)
    {
        std::size_t bytes = 0;
        for (const auto& header : headers)
            bytes += header.name.size() + header.value.size() + headerOverhead;
        return bytes;
    }

} // namespace

std::size_t wireBytes(const http_request& request)
{
    return requestLineBytes + request.method.size() + request.target.size() + headerBytes(request.headers)
        + request.body.size();
}

std::size_t wireBytes(const http_response& response)
{
    return responseLineBytes + headerBytes(response.headers) + response.body.size();
}

} // namespace chervilport
