#pragma once

#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_record.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Records that a job failed on a worker. Puts the worker in quarantine when jobs of its own making are unlikely to be
/// the cause, and then takes the failure off the other jobs' accounts. Returns whether the job itself is to blame.
bool recordFailure(schedule_state&, job_record&, std::int32_t worker, std::vector<command>&);

/// Records that a task of a job ended well on a worker; ends the worker's quarantine.
void recordSuccess(schedule_state&, const job_record&, std::int32_t worker, std::vector<command>&);

/// Returns whether a worker in quarantine may take a task of the job as its probe.
bool mayProbe(const schedule_state&, const job_record&, std::int32_t worker);

/// Records that the job started as the worker's probe.
void recordProbe(schedule_state&, const job_record&, std::int32_t worker);

/// Puts workers whose probe found no suitable job for an hour back in service on trial. Returns whether there were any.
bool releaseUnprobedWorkers(schedule_state&, std::vector<command>&);

/// Returns the time of the next probe that becomes possible, if any is to come.
std::optional<log_time> nextProbe(const schedule_state&);

} // namespace chervilport
