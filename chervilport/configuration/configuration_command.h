#pragma once

#include "chervilport/configuration/domain_capacity.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chervilport {

/// Puts a document into trial.
struct put_trial {
    /// Version in trial that the operator has seen, 0 for none.
    std::uint64_t expectedVersion = 0;
    /// The document.
    std::string document;
};

/// Validates the document in trial as a whole.
struct prove_trial {
    /// Version in trial.
    std::uint64_t version = 0;
    /// Capacity known to the leader when it appended the command.
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
    /// Key under which the operator resends it, 1 to 128 bytes.
    std::string operationKey;
    /// Who sends it.
    std::string operatorName;
    /// Wall time of its arrival in milliseconds since 1970, for the history only.
    std::int64_t arrivedUnixMs = 0;
    /// What it does.
    std::variant<put_trial, prove_trial, promote_trial> action;
};

} // namespace chervilport
