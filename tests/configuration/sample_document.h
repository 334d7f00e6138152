#pragma once

#include "chervilport/configuration/domain_capacity.h"

#include <string>
#include <vector>

namespace chervilport {

/// Returns a valid document with two failure domains; `rosters` is guaranteed `gangs` gangs of 16 tasks in Seattle.
inline std::string sampleDocument(int gangs = 2)
{
    return R"([environment]
name = "nightline"
failure_domains = ["seattle", "tacoma"]

[policy]
fragmentation_weight = 200
start_timeout_ms = 20000

[[workspace]]
name = "rosters"

[[workspace.domain]]
name = "seattle"
max_borrowed_accelerators = 8

[[workspace.domain.guarantee]]
count = )"
        + std::to_string(gangs) + R"(
tasks = 16
accelerators = 1
placement = "rack"

[[workspace.domain.team]]
name = "dispatch"
max_accelerators = 24

[[workspace]]
name = "plans"

[[workspace.domain]]
name = "tacoma"
)";
}

/// Returns two racks in Seattle, each with two workers of 8 accelerators.
inline std::vector<domain_capacity> sampleCapacity()
{
    const resources worker { 8, 60'000, 262'144 };
    return { { "seattle", { { 1, 2, worker }, { 2, 2, worker } } } };
}

} // namespace chervilport
