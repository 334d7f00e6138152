#pragma once

#include "chervilport/batch/crash_history.h"
#include "chervilport/batch/job_record.h"
#include "chervilport/batch/site_config.h"
#include "chervilport/batch/worker_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace chervilport::batch {

/// State that the control group replicates.
struct batch_state {
    /// Time of the newest batch, Unix milliseconds; never decreases.
    std::int64_t timeMs = 0;
    /// Configuration in force.
    site_config config;
    /// Workers that were not removed, by number.
    std::map<worker_number, worker_record> workers;
    /// Numbers of these workers by id; derived from them, not part of snapshots.
    std::map<std::string, worker_number, std::less<>> numbersById;
    /// Number of the next new worker.
    std::uint32_t nextWorker = 1;
    /// Jobs by id.
    std::map<std::string, job_record> jobs;
    /// Crashes of workers under the tasks of active jobs.
    crash_history crashes;
    /// Failure domains whose workers get no new runs, with the time since when, Unix milliseconds.
    std::map<std::string, std::int64_t> evacuatedDomains;
    /// Ids without a job that were cancelled, with the time when, Unix milliseconds. A submission that arrives later is
    /// recorded as cancelled.
    std::map<std::string, std::int64_t> cancelledIds;
    /// Active jobs of which runs have ended, all of them as `NotStarted`, with the number of these runs.
    std::map<std::string, std::int64_t> unstartedJobs;
};

/// Returns the job, or null.
const job_record* findJob(const batch_state&, std::string_view id);

/// Returns the worker, or null.
const worker_record* findWorker(const batch_state&, worker_number);

/// Returns the worker with this id, or null.
const worker_record* findWorker(const batch_state&, std::string_view id);

/// Returns whether the worker may get new runs: it is not draining and its failure domain is not evacuated.
bool acceptsRuns(const batch_state&, const worker_record&);

/// Returns the queue of that name, or null.
const queue_config* findQueue(const site_config&, std::string_view name);

/// Returns the queue with this host and the longest matching prefix of the path, or null.
const queue_config* findQueue(const site_config&, std::string_view host, std::string_view path);

/// Returns the queue of a job as configured, or as it accepted the job if the configuration has removed its name.
const queue_config& queueOf(const site_config&, const job_record&);

/// Returns the workspace that has the key, or null.
const workspace_quota* findWorkspaceByKey(const site_config&, std::string_view key);

} // namespace chervilport::batch
