#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/task_ref.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Destination of a request: a worker at an address.
struct worker_target {
    /// `ip:port`.
    std::string address;
    /// Id that the worker must have; a worker with another id refuses the request.
    std::string id;
};

/// Outcome of a request to a worker.
enum class worker_reply : std::uint8_t {
    /// The request was executed.
    Done,
    /// The worker has accepted requests with a higher fencing token.
    Fenced,
    /// The run is not newer than a run of the task that ended or was stopped on the worker.
    OutdatedRun,
    /// The lease of the request had expired when it arrived.
    LeaseExpired,
    /// The worker lacks free capacity for the run.
    InsufficientCapacity,
    /// The request was refused for another reason and not executed.
    Refused,
    /// The worker is unhealthy and did not execute the request.
    Unhealthy,
    /// Another incarnation of a worker responds at the address.
    IncarnationMismatch,
    /// No byte of the request left this instance.
    NotSent,
    /// No response arrived; the request may still be executed.
    NoResponse,
};

/// Returns the name of a reply for logs.
std::string_view nameOf(worker_reply);

/// Result of a request.
struct worker_result {
    /// Outcome of the request.
    worker_reply reply = worker_reply::NoResponse;
    /// Clock of the worker in milliseconds, if it responded.
    std::optional<std::int64_t> clockMs;
    /// Details for the log.
    std::string detail;
};

/// Request to start a run.
struct start_request {
    /// Run to start.
    batch::run_ref run;
    /// Specification of the job as submitted.
    std::string spec;
    /// End of the lease of all runs on the worker, on the worker's clock.
    std::int64_t leaseUntilMs = 0;
    /// Value of the fencing token; a worker refuses requests with a lower one than the highest it has seen.
    std::uint64_t fencingToken = 0;
    /// Checkpoint to start from; empty for none.
    std::string checkpoint;
};

/// Request to stop a run.
struct stop_request {
    /// Run to stop.
    batch::run_ref run;
    /// Value of the fencing token.
    std::uint64_t fencingToken = 0;
};

/// Request for the running and ended runs, which also renews the lease.
struct poll_request {
    /// New end of the lease on the worker's clock; nothing when the lease is not renewed.
    std::optional<std::int64_t> leaseUntilMs;
    /// Value of the fencing token.
    std::uint64_t fencingToken = 0;
    /// Ends up to this number are committed; the worker can discard them.
    std::uint64_t acknowledgedEnd = 0;
    /// Longest time for which the worker delays the response until a run ends (long poll).
    std::chrono::milliseconds wait { 0 };
};

/// A run on a worker.
struct reported_run {
    /// The run.
    batch::run_ref run;
    /// Newest checkpoint; empty for none.
    std::string checkpoint;
    /// Progress in percent; for a long-running task, its speed in percent of full speed.
    std::int64_t percent = 0;
};

/// The end of a run on a worker.
struct reported_end {
    /// Sequence number of the end within an incarnation of the worker, from 1.
    std::uint64_t number = 0;
    /// The run that ended.
    batch::run_ref run;
    /// How the run ended.
    batch::run_end_kind kind = batch::run_end_kind::Lost;
    /// Newest checkpoint; empty for none.
    std::string checkpoint;
};

/// Response of a worker to a poll.
struct poll_response {
    /// Result of the poll; the other fields are valid only when it is Done.
    worker_result result;
    /// Start time of the worker's incarnation, Unix milliseconds; 0 when not reported.
    std::int64_t incarnation = 0;
    /// Runs on the worker.
    std::vector<reported_run> running;
    /// Ends that the worker still lists.
    std::vector<reported_end> ended;
    /// Whether the worker may have more ends: it lists a limited number at a time, and further ones once these are
    /// acknowledged.
    bool hasMoreEnds = false;
    /// Whether a run or an end was left out because it could not be read.
    bool hasUnreadableRows = false;
};

/// Returns whether a run that the response does not list is not on the worker and has no end there.
bool isComplete(const poll_response&);

/// Returns the running and ended runs of a response.
std::set<batch::run_ref> runsIn(const poll_response&);

/// Calls to workers, as functions that tests can replace. Callbacks run once, on the control thread, and never within
/// the call.
struct worker_client {
    /// Starts a run.
    std::function<void(const worker_target&, const start_request&, std::function<void(worker_result)>)> start;
    /// Stops a run.
    std::function<void(const worker_target&, const stop_request&, std::function<void(worker_result)>)> stop;
    /// Requests the running and ended runs, and renews the lease.
    std::function<void(const worker_target&, const poll_request&, std::function<void(poll_response)>)> poll;
};

} // namespace chervilport
