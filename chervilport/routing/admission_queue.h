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
    /// Requests that wait at the same time; a request holds up to its body in memory.
    std::size_t maxLength = 512;
    /// Longest time in the queue. Beyond it a caller does better to ask another instance.
    log_duration maxWait = std::chrono::seconds(5);
    /// Every so many turns of a workspace its oldest request is taken whatever its class, so that none starves.
    std::int32_t turnsPerOldest = 4;
    /// Weight of the newest interval between two slots in the mean.
    double ewmaWeight = 0.1;
};

/// Requests of one workspace.
struct workspace_queue {
    /// Waiting requests of each class, oldest first.
    std::array<std::deque<admission_entry>, requestClassCount> waiting;
    /// Work taken so far, relative to the others; the smallest is taken next.
    std::uint64_t turn = 0;
};

/// Requests of one service that wait for a slot; bounded, and fair between workspaces.
struct admission_queue {
    /// Limits.
    admission_queue_settings settings;
    /// Requests by workspace; workspaces without a waiting request have no entry.
    std::map<std::string, workspace_queue> workspaces;
    /// Waiting requests in total.
    std::size_t length = 0;
    /// Turn of the last request taken; a workspace that begins to wait starts from here.
    std::uint64_t turn = 0;
    /// Mean time between two requests taken while others waited; 0 until it is known.
    log_duration meanInterval {};
    /// When the last request was taken while others waited.
    std::optional<log_time> lastTaken;
};

/// What became of an offered request.
struct admission_offer {
    /// Whether the request waits now.
    bool isAdmitted = false;
    /// If not, when the caller should ask again.
    log_duration retryAfter {};
    /// Request that had to leave the full queue, because its workspace has more than its share of it.
    std::optional<std::uint64_t> displaced;
};

/// Offers a request. It is refused at once if it would not be taken before its deadline or the longest wait, judged by
/// the present pace, or if the queue is full and its workspace has at least as much of it as any other.
admission_offer offerRequest(admission_queue&, admission_entry, log_time now);

/// Takes the next request out: from the workspace that had the fewest turns, by class, then by age.
std::optional<admission_entry> takeRequest(admission_queue&, log_time now);

/// Takes a given request out, for example because its caller has gone. Returns false if it does not wait.
bool removeRequest(admission_queue&, std::uint64_t id);

/// Takes out all requests whose deadline or longest wait is over.
std::vector<admission_entry> removeExpired(admission_queue&, log_time now);

/// Returns the earliest time at which a waiting request becomes overdue.
std::optional<log_time> nextExpiry(const admission_queue&);

/// Returns the expected time until a request that is offered now would be taken.
log_duration expectedWait(const admission_queue&, const std::string& workspace);

} // namespace chervilport
