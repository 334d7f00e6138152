#pragma once

#include <string>
#include <tuple>

namespace chervilport {

/// Identifies a non-idempotent request.
struct claim_key {
    /// Workspace of the caller.
    std::string workspace;
    /// Idempotency key, chosen by the caller.
    std::string key;

    friend bool operator==(const claim_key&, const claim_key&) = default;
    friend bool operator<(const claim_key& left, const claim_key& right)
    {
        return std::tie(left.workspace, left.key) < std::tie(right.workspace, right.key);
    }
};

} // namespace chervilport
