#pragma once

#include "chervilport/scheduling/policy_config.h"
#include "chervilport/scheduling/workspace_config.h"

#include <string>
#include <vector>

namespace chervilport {

/// The workspaces of one failure domain.
struct domain_config {
    /// Name of the failure domain.
    std::string name;
    /// Workspaces with a guarantee or quotas in the failure domain.
    std::vector<workspace_config> workspaces;

    friend bool operator==(const domain_config&, const domain_config&) = default;
};

/// Content of an environment document.
struct environment_config {
    /// Name of the environment.
    std::string name;
    /// Parameters of the scheduling policy.
    policy_config policy;
    /// Failure domains in the order of the document.
    std::vector<domain_config> domains;

    friend bool operator==(const environment_config&, const environment_config&) = default;
};

} // namespace chervilport
