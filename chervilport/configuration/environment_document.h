#pragma once

#include "chervilport/configuration/config_problem.h"
#include "chervilport/configuration/environment_config.h"

#include <optional>
#include <string_view>
#include <vector>

namespace chervilport {

/// Result of parsing an environment document.
struct parsed_environment {
    /// The content; absent when there are problems.
    std::optional<environment_config> config;
    /// All problems found, ordered by line.
    std::vector<config_problem> problems;
};

/// Parses and validates an environment document (TOML). Reports unknown keys as problems, to detect misspelled keys.
parsed_environment parseEnvironment(std::string_view document);

} // namespace chervilport
