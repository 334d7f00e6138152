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
struct client_answer {
    /// HTTP status.
    long status = 0;
    /// Body.
    std::string body;
};

/// Sends a call to the first instance that can be reached. Throws chervilport_error: of kind Unavailable when none can
/// be, of the kind that the answer names when it is an error, and of kind OutcomeUnknown when the answer is cut off.
client_answer sendCall(const client_options&, const client_call&);

/// Returns text in the form that a query needs.
std::string escapeQuery(const std::string& text);

} // namespace chervilport
