#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/task_ref.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// Where an order goes: one life of a worker.
struct worker_target {
    /// `ip:port`.
    std::string address;
    /// Id that the worker must have; another one refuses the order.
    std::string id;
};

/// How an order to a worker ended.
enum class worker_reply : std::uint8_t {
    /// It was carried out.
    Done,
    /// A newer leader has given orders there.
    Fenced,
    /// The run is not newer than one that ended or was stopped there.
    OutdatedRun,
    /// The lease of the order was over when it arrived.
    LeaseExpired,
    /// There is no room for the run.
    InsufficientCapacity,
    /// The order was refused for another reason and not carried out.
    Refused,
    /// The worker is not sound and did nothing.
    Unhealthy,
    /// Another life of a worker answers at the address.
    IncarnationMismatch,
    /// No byte of the order left this instance.
    NotSent,
    /// No answer came; the order may be carried out later.
    NoResponse,
};

/// The end of an order.
struct worker_result {
    worker_reply reply = worker_reply::NoResponse;
    /// Clock of the worker in milliseconds, if it answered.
    std::optional<std::int64_t> clockMs;
    /// For the log.
    std::string detail;
};

/// An order to start a run.
struct start_request {
    batch::run_ref run;
    std::string spec;
    /// End of the lease of everything on the worker, on its clock.
    std::int64_t leaseUntilMs = 0;
    /// Term of the leader; a worker obeys no lower one than it has seen.
    std::uint64_t fencingToken = 0;
    /// Saved progress to begin with; empty for none.
    std::string checkpoint;
};

/// An order to stop a run.
struct stop_request {
    batch::run_ref run;
    std::uint64_t fencingToken = 0;
};

/// A request for what runs and what ended, which also renews the lease.
struct poll_request {
    /// End of the lease on the worker's clock; nothing while that clock is not known.
    std::optional<std::int64_t> leaseUntilMs;
    std::uint64_t fencingToken = 0;
    /// Ends up to this number are noted and can be forgotten.
    std::uint64_t acknowledgedEnd = 0;
    /// Longest time for which the answer waits for an end.
    std::chrono::milliseconds wait { 0 };
};

/// A run on a worker.
struct reported_run {
    batch::run_ref run;
    /// Saved progress; empty for none.
    std::string checkpoint;
    /// Progress, or share of full speed of a long-running task, in percent.
    std::int64_t percent = 0;
};

/// The end of a run on a worker.
struct reported_end {
    /// Rises by one with each end of a worker's life, from 1.
    std::uint64_t number = 0;
    batch::run_ref run;
    batch::run_end_kind kind = batch::run_end_kind::Lost;
    std::string checkpoint;
};

/// What a worker says.
struct poll_response {
    worker_result result;
    /// Start of the worker's life, Unix milliseconds; 0 when not told.
    std::int64_t incarnation = 0;
    std::vector<reported_run> running;
    std::vector<reported_end> ended;
};

/// The calls to workers, as functions, so that tests replace them. Callbacks run once, on the control thread, never
/// from within the call.
struct worker_client {
    std::function<void(const worker_target&, const start_request&, std::function<void(worker_result)>)> start;
    std::function<void(const worker_target&, const stop_request&, std::function<void(worker_result)>)> stop;
    std::function<void(const worker_target&, const poll_request&, std::function<void(poll_response)>)> poll;
};

} // namespace chervilport
