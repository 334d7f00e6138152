#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// One header field of a message.
struct http_header {
    /// Field name; compared case-insensitively.
    std::string name;
    /// Field value without leading and trailing white space.
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// A received request or a request to send.
struct http_request {
    /// Method in upper case, for example `GET`.
    std::string method = "GET";
    /// Path and query as in the request line, starting with a slash.
    std::string target = "/";
    /// Header fields in order.
    std::vector<http_header> headers;
    /// Body; may be empty.
    std::string body;
};

/// A complete response.
struct http_response {
    /// Status code, 200 to 599.
    int status = 200;
    /// Header fields in order.
    std::vector<http_header> headers;
    /// Body; may be empty.
    std::string body;
};

/// Returns the value of the first field with that name, or a view with null data if there is none.
std::string_view findHeader(const std::vector<http_header>&, std::string_view name);

/// Compares two field names case-insensitively.
bool equalHeaderNames(std::string_view, std::string_view);

} // namespace chervilport
