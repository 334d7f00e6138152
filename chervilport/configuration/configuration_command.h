#pragma once

#include "chervilport/configuration/domain_capacity.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilport {

/// Puts a document into trial.
struct put_trial {
    /// Version in trial that the operator expects, 0 for none.
    std::uint64_t expectedVersion = 0;
    /// The document.
    std::string document;
};

/// Checks the guarantees and quotas of the document in trial against the capacity.
struct prove_trial {
    /// Version in trial.
    std::uint64_t version = 0;
    /// Capacity that the leader knew when it appended the command.
    std::vector<domain_capacity> capacity;
};

/// Makes the proven document in trial the one in production.
struct promote_trial {
    /// Version in trial.
    std::uint64_t version = 0;
    /// Hash of the proven document.
    std::uint64_t hash = 0;
};

/// A command of an operator.
struct configuration_command {
    /// Operation key for idempotent retries, 1 to 128 bytes.
    std::string operationKey;
    /// Name of the operator.
    std::string operatorName;
    /// Wall-clock time of its arrival in milliseconds since 1970-01-01 UTC, used only in the history.
    std::int64_t arrivedUnixMs = 0;
    /// The action to apply.
    std::variant<put_trial, prove_trial, promote_trial> action;
};

} // namespace chervilport
