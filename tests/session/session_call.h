#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace chervilport {

/// An HTTP call from a test to a process.
struct session_call {
    /// HTTP method.
    std::string method = "GET";
    /// IP address and port.
    std::string address;
    /// Path and query.
    std::string target;
    /// Header lines, `Name: value`.
    std::vector<std::string> headers;
    /// Body.
    std::string body;
};

/// The response to a call.
struct session_response {
    /// HTTP status; 0 when no complete response arrived.
    long status = 0;
    /// Body.
    std::string body;
    /// Whether a connection could be established.
    bool connected = false;

    /// Returns the body as JSON; a discarded value when it is not valid JSON.
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Sends a call and waits up to 120 s for the response.
session_response sendSessionCall(const session_call&);

} // namespace chervilport
