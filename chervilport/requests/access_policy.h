#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// A bearer token and the rights that it grants.
struct access_token {
    /// Secret that the client presents.
    std::string token;
    /// Workspace of the client; empty for operators.
    std::string workspace;
    /// Whether the client may act for every workspace and use the operator calls.
    bool isOperator = false;
};

/// Access rules of the request path. Without tokens, every client may act for every workspace and as operator.
struct access_policy {
    /// Accepted tokens.
    std::vector<access_token> tokens;
};

/// The verified identity of a caller.
struct caller_identity {
    /// Workspace that the caller is restricted to; empty if it may act for every workspace.
    std::string workspace;
    /// Whether the caller is an operator.
    bool isOperator = false;
};

/// Verifies the value of an `Authorization` header. The running time does not depend on how much of a token matches.
/// Throws chervilport_error of kind Unauthenticated.
caller_identity verifyCaller(const access_policy&, std::string_view authorization);

/// Compares two strings in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view, std::string_view);

} // namespace chervilport
