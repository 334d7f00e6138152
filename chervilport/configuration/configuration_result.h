#pragma once

#include "chervilport/configuration/config_problem.h"
#include "chervilport/configuration/document_difference.h"
#include "chervilport/core/error_kind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// Result of a configuration command.
struct configuration_result {
    /// Kind of error; absent when the command was accepted.
    std::optional<error_kind> error;
    /// Explanation for the operator; empty when accepted.
    std::string message;
    /// Version in trial after the command, 0 when there is none.
    std::uint64_t trialVersion = 0;
    /// Hash of the document in trial.
    std::uint64_t trialHash = 0;
    /// Version in production after the command, 0 when there is none.
    std::uint64_t productionVersion = 0;
    /// Problems of the document, for `InvalidRequest` and `Infeasible`.
    std::vector<config_problem> problems;
    /// For a version conflict of a put, the differences between the document in trial and the submitted one.
    std::vector<document_difference> differences;

    friend bool operator==(const configuration_result&, const configuration_result&) = default;
};

} // namespace chervilport
