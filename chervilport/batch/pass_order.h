#pragma once

#include "chervilport/batch/delay_cost.h"
#include "chervilport/batch/latency_objective.h"
#include "chervilport/batch/preemption.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/run_estimates.h"
#include "chervilport/batch/workspace_share.h"

#include <cstdint>
#include <vector>

namespace chervilport::batch {

/// A ready step and the values that decide its order in a pass.
struct ordered_step {
    ready_step step;
    /// Whether it may reclaim capacity under the guarantee of its workspace.
    bool isGuaranteed = false;
    /// Whether it is a long-running step that has waited. It is placed before gangs reserve the free workers for
    /// themselves: its users are without service until it runs.
    bool isOverdueService = false;
    /// Whether its job can still end in time.
    objective_status status = objective_status::OnTime;
    /// Cost of a delay of its job.
    delay_cost cost;
    /// Expected loss of value for each core-second if it waits; see `urgencyOf`.
    double urgency = 0;
};

/// Returns the mean wait that steps are compared with: the time in which room becomes free, in milliseconds.
double meanWaitMs(const run_estimates&, const std::vector<ready_step>&);

/// Fills in the cost of a delay of the step.
void assessDelay(ordered_step&, const batch_state&, const run_estimates&, double meanWaitMs, std::int64_t nowMs);

/// Returns the prices of preemptions beside these waiting steps.
preemption_prices pricesOf(const std::vector<ordered_step>&, double meanWaitMs);

/// Multiplies the urgency of the steps by the factors of their workspaces; see `shareFactors`.
void weighByShares(std::vector<ordered_step>&, const workspace_use&, const site_config&);

/// Sorts steps into the order in which a pass places them: guaranteed ones, overdue services, then those that can end
/// in time, late ones and expired ones, each by urgency; equal ones by priority and due time.
void sortForPass(std::vector<ordered_step>&);

} // namespace chervilport::batch
