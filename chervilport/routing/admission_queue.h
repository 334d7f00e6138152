#pragma once

#include "chervilport/routing/admission_entry.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// Limits of a queue.
struct admission_queue_settings {
    /// Maximum number of waiting requests; each holds its body in memory.
    std::size_t maxLength = 512;
    /// Longest time in the queue. After it, the caller should rather send the request to another instance.
    log_duration maxWait = std::chrono::seconds(5);
    /// On every n-th turn of a workspace its oldest request is taken regardless of class, so that no class starves.
    std::int32_t turnsPerOldest = 4;
    /// Weight of the newest interval in the moving average of the intervals between two taken requests, 0 to 1.
    double ewmaWeight = 0.1;
};

/// Waiting requests of one workspace.
struct workspace_queue {
    /// Requests by class, oldest first.
    std::array<std::deque<admission_entry>, requestClassCount> waiting;
    /// Number of turns used, comparable between workspaces; the workspace with the fewest is served next.
    std::uint64_t turn = 0;
};

/// Requests of one service that wait for a slot; bounded in length and fair between workspaces.
struct admission_queue {
    /// Limits.
    admission_queue_settings settings;
    /// Queues by workspace; a workspace without a waiting request has no entry.
    std::map<std::string, workspace_queue> workspaces;
    /// Total number of waiting requests.
    std::size_t length = 0;
    /// Turn of the last request taken; the start value for a workspace that begins to wait.
    std::uint64_t turn = 0;
    /// Moving average of the time between two taken requests while others waited; 0 until the first measurement.
    log_duration meanInterval {};
    /// Time at which the last request was taken, if others were waiting then.
    std::optional<log_time> lastTaken;
};

/// Result of offering a request.
struct admission_offer {
    /// Whether the request was added to the queue.
    bool isAdmitted = false;
    /// If not: time after which the caller should retry.
    log_duration retryAfter {};
    /// Request that was removed from the full queue, because its workspace has the most requests in it.
    std::optional<std::uint64_t> displaced;
};

/// Offers a request. Refuses it if the expected wait exceeds its deadline or the maximum wait, or if the queue is full
/// and no other workspace would have more requests in it.
admission_offer offerRequest(admission_queue&, admission_entry, log_time now);

/// Removes and returns the next request: from the workspace with the fewest turns, by class, then by age. Returns
/// nothing if the queue is empty.
std::optional<admission_entry> takeRequest(admission_queue&, log_time now);

/// Removes a given request, for example because its caller has disconnected. Returns false if it is not in the queue.
bool removeRequest(admission_queue&, std::uint64_t id);

/// Removes and returns all requests whose deadline or maximum wait has passed.
std::vector<admission_entry> removeExpired(admission_queue&, log_time now);

/// Returns the earliest time at which a waiting request expires.
std::optional<log_time> nextExpiry(const admission_queue&);

/// Returns the expected wait of a request of the workspace that is offered now, based on the moving average.
log_duration expectedWait(const admission_queue&, const std::string& workspace);

} // namespace chervilport
