#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace chervilport {

/// A call of a test to a process.
struct session_call {
    /// HTTP method.
    std::string method = "GET";
    /// IP address and port.
    std::string address;
    /// Path and query.
    std::string target;
    /// Header lines.
    std::vector<std::string> headers;
    /// Body.
    std::string body;
};

/// The answer to a call.
struct session_response {
    /// HTTP status; 0 when there was no whole answer.
    long status = 0;
    /// Body.
    std::string body;
    /// Whether a connection could be established.
    bool connected = false;

    /// Returns the body as JSON; discarded when it is none.
    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Sends a call and waits for its answer.
session_response sendSessionCall(const session_call&);

} // namespace chervilport
