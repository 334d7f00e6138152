#pragma once

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/latency_objective.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/run_estimates.h"

#include <cstdint>

namespace chervilport::batch {

/// What the result of a job is worth to its caller, by the age at which it comes. Ages are times since the job was due,
/// in milliseconds.
struct delay_cost {
    /// Value of a result that comes in time. Only ratios of values matter.
    double value = 1;
    /// Age up to which the result has its whole value.
    double objectiveMs = 0;
    /// Age from which it has none; between the objective and the expiry it has a part of its value.
    double expiryMs = 0;
    /// Expected time from the start of the waiting step to the end of the job.
    double remainingMs = 0;
    /// Work that the job still needs, in core-seconds, with an accelerator counted as eight cores.
    double remainingWork = 1;
};

/// Returns the core-seconds of one task of a step that runs for the given time, with an accelerator counted as eight
/// cores.
double coreSeconds(const step_spec&, double runMs);

/// Returns the cost of a delay of a ready step. Without an objective in its queue the expiry is 0, see `hasObjective`.
delay_cost delayCostOf(const batch_state&, const run_estimates&, const ready_step&);

/// Returns whether the queue of the job states an objective, so that a delay has a cost that can be computed.
bool hasObjective(const delay_cost&);

/// Returns whether a result can still come in time, or be of use, when the step starts at this age.
objective_status statusAt(const delay_cost&, double startAgeMs);

/// Returns the expected value of the result when the step starts at this age. Run times are uncertain, so the value
/// falls smoothly around the objective and the expiry.
double expectedValue(const delay_cost&, double startAgeMs);

/// Returns the expected loss of value when the step starts later by the given delay.
double delayLoss(const delay_cost&, double startAgeMs, double delayMs);

/// Returns the expected loss of value for each core-second that the job needs, if it does not start now but after a
/// wait whose length is exponentially distributed with the given mean. A job whose result has lost its value keeps an
/// urgency that grows with its age, so that no job starves.
double urgencyOf(const delay_cost&, double ageMs, double meanWaitMs);

} // namespace chervilport::batch
