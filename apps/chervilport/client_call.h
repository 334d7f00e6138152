#pragma once

#include <string>
#include <vector>

namespace chervilport {

struct client_options;

/// A call to an instance.
struct client_call {
    /// HTTP method.
    std::string method = "GET";
    /// Path and query.
    std::string target;
    /// Further header lines.
    std::vector<std::string> headers;
    /// Body.
    std::string body;
};

/// The answer of an instance.
struct client_response {
    /// HTTP status.
    long status = 0;
    /// Body.
    std::string body;
};

/// Sends a call to the first instance that can be reached and returns its answer, also one that is an error. Throws
/// chervilport_error: of kind Unavailable when none can be reached, of kind OutcomeUnknown when the answer is cut off.
client_response sendCall(const client_options&, const client_call&);

/// Returns whether the answer is an error.
bool isErrorResponse(const client_response&);

/// Throws chervilport_error of the kind that an error answer names.
[[noreturn]] void throwErrorResponse(const client_response&);

/// Like `sendCall`, but throws an error answer.
client_response sendCallOrThrow(const client_options&, const client_call&);

/// Returns text in the form that a query needs.
std::string escapeQuery(const std::string& text);

} // namespace chervilport
