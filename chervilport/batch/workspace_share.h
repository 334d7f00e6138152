#pragma once

#include "chervilport/batch/batch_state.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace chervilport::batch {

/// Recent use of the pool by the runs of each workspace, in core-seconds with an accelerator counted as eight cores.
/// It decays with a half-life, so that only the last minute counts.
struct workspace_use {
    std::map<std::string, double, std::less<>> byWorkspace;
    /// Time up to which the use is recorded, Unix milliseconds; 0 before the first record.
    std::int64_t recordedMs = 0;
};

/// Adds the use by the active runs since the last record and decays the earlier one. The first record counts the active
/// runs since their start, so that a new leader knows most of the recent use at once.
void recordUse(workspace_use&, const batch_state&, std::int64_t nowMs);

/// Returns the weight of the share of a workspace: its guarantee. Workspaces without a guarantee, and callers without a
/// workspace, have half of the smallest one.
double shareWeight(const site_config&, std::string_view workspace);

/// Returns by workspace the factor on the urgency of its steps: above 1 for those that have used less than their share
/// lately, below 1 for those that have used more. The share is that among the given workspaces, which have steps to
/// start. A single one has the factor 1.
std::map<std::string, double, std::less<>> shareFactors(
    const workspace_use&, const site_config&, const std::set<std::string, std::less<>>& workspaces);

/// Returns whether a workspace has used more than its share lately, beside these other workspaces.
bool isBeyondShare(const workspace_use&, const site_config&, std::set<std::string, std::less<>> workspaces,
    const std::string& workspace);

} // namespace chervilport::batch
