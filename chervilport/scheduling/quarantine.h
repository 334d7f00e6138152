#pragma once

#include "chervilport/scheduling/command.h"
#include "chervilport/scheduling/job_record.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Records that a job failed on a worker. Puts the worker in quarantine when enough different jobs failed on it, and
/// then no longer counts these failures against the jobs. Failures of a job or kind that fails on several workers do
/// not count against a worker. Returns whether the failure counts against the job.
bool recordFailure(schedule_state&, job_record&, std::int32_t worker, std::vector<command>&);

/// Records that a task of a job succeeded on a worker; ends the worker's quarantine.
void recordSuccess(schedule_state&, const job_record&, std::int32_t worker, std::vector<command>&);

/// Returns whether a worker in quarantine may take a task of the job as its probe.
bool mayProbe(const schedule_state&, const job_record&, std::int32_t worker);

/// Records that the job started as the worker's probe.
void recordProbe(schedule_state&, const job_record&, std::int32_t worker);

/// Returns workers to service on trial that have waited for a suitable probe job for an hour: one failure of another
/// job is then enough for a new quarantine. Returns whether there were any.
bool releaseUnprobedWorkers(schedule_state&, std::vector<command>&);

/// Returns the earliest time at which a probe becomes due or its wait for a job ends, if any.
std::optional<log_time> nextProbe(const schedule_state&);

} // namespace chervilport
