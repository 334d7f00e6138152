#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// One header field of a message.
struct http_header {
    /// Field name; compared without regard to case.
    std::string name;
    /// Field value without surrounding white space.
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// A request as it was read or is to be sent.
struct http_request {
    /// Method in capitals, for example `GET`.
    std::string method = "GET";
    /// Path and query as on the request line, starting with a slash.
    std::string target = "/";
    /// Header fields in order.
    std::vector<http_header> headers;
    /// Whole body; may be empty.
    std::string body;
};

/// A whole response.
struct http_response {
    /// Status code, 200 to 599.
    int status = 200;
    /// Header fields in order.
    std::vector<http_header> headers;
    /// Whole body; may be empty.
    std::string body;
};

/// Returns the value of the first field of that name, or nothing (a view without data) if there is none.
std::string_view findHeader(const std::vector<http_header>&, std::string_view name);

/// Returns whether two field names are equal without regard to case.
bool equalHeaderNames(std::string_view, std::string_view);

} // namespace chervilport
