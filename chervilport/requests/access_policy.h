#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// A bearer token and what it allows.
struct access_token {
    /// The secret.
    std::string token;
    /// Workspace that its bearer acts for; empty for operators.
    std::string workspace;
    /// Whether its bearer may act for every workspace and use the calls of operators.
    bool isOperator = false;
};

/// Who may call. Without tokens everyone may act for every workspace.
struct access_policy {
    /// All tokens.
    std::vector<access_token> tokens;
};

/// The verified identity of a caller.
struct caller_identity {
    /// Workspace that the caller is bound to; empty if it may act for every one.
    std::string workspace;
    /// Whether the caller is an operator.
    bool isOperator = false;
};

/// Verifies the value of an `Authorization` header. The time does not depend on how much of a token is right.
/// Throws chervilport_error of kind Unauthenticated.
caller_identity verifyCaller(const access_policy&, std::string_view authorization);

/// Compares two texts in a time that depends only on their lengths.
bool equalInConstantTime(std::string_view, std::string_view);

} // namespace chervilport
