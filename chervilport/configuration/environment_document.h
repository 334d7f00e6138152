#pragma once

#include "chervilport/configuration/config_problem.h"
#include "chervilport/configuration/environment_config.h"

#include <optional>
#include <string_view>
#include <vector>

namespace chervilport {

/// Result of reading an environment document.
struct parsed_environment {
    /// The content; absent when there is a problem.
    std::optional<environment_config> config;
    /// All problems found, in the order of the lines.
    std::vector<config_problem> problems;
};

/// Reads and validates an environment document (TOML). Unknown keys are problems, so that a misspelt one is noticed.
parsed_environment parseEnvironment(std::string_view document);

} // namespace chervilport
