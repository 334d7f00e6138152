#pragma once

#include <string>
#include <vector>

namespace chervilport {

struct client_options;

/// An HTTP request to an instance.
struct client_call {
    /// HTTP method.
    std::string method = "GET";
    /// Path and query of the URL.
    std::string target;
    /// Additional header lines, as `Name: value`.
    std::vector<std::string> headers;
    /// Body; empty for none.
    std::string body;
};

/// The HTTP response of an instance.
struct client_response {
    /// HTTP status code.
    long status = 0;
    /// Body.
    std::string body;
};

/// Sends a call to the first reachable instance and returns its response, including error responses. Throws
/// chervilport_error: of kind Unavailable when no instance is reachable, of kind OutcomeUnknown when the transfer fails
/// for another reason than a failed connection, because the call may have been sent.
client_response sendCall(const client_options&, const client_call&);

/// Returns whether the status of the response is 400 or higher.
bool isErrorResponse(const client_response&);

/// Throws chervilport_error of the kind that the body of an error response names; of kind Internal when it names none.
[[noreturn]] void throwErrorResponse(const client_response&);

/// Like `sendCall`, but throws as `throwErrorResponse` does on an error response.
client_response sendCallOrThrow(const client_options&, const client_call&);

/// Percent-encodes text for the path or query of a URL.
std::string escapeQuery(const std::string& text);

} // namespace chervilport
