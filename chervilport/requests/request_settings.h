#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/requests/access_policy.h"
#include "chervilport/requests/claim_step.h"
#include "chervilport/routing/admission_queue.h"
#include "chervilport/routing/retry_budget.h"

#include <cstddef>
#include <set>
#include <string>

namespace chervilport {

/// Rules of the request path.
struct request_settings {
    /// Who may call.
    access_policy access;
    /// Known workspaces; empty to accept every name.
    std::set<std::string, std::less<>> workspaces;
    /// Deadline of requests that name none.
    log_duration defaultDeadline = std::chrono::seconds(30);
    /// Longest deadline; a longer one is shortened to it.
    log_duration maxDeadline = std::chrono::minutes(10);
    /// Longest attempt; must equal that of the slot shares, whose safety rests on it.
    log_duration maxAttemptDuration = std::chrono::seconds(30);
    /// Attempts of one request, the first included.
    int maxAttempts = 3;
    /// Time beyond its deadline after which a claim counts as uncertain, for the delay of its end in the log.
    log_duration claimMargin = std::chrono::seconds(10);
    /// Largest body of a response.
    std::size_t maxResponseBytes = 1U << 20U;
    /// Bytes of all bodies of requests held at the same time.
    std::size_t maxPendingBytes = 16U << 20U;
    /// Limits of the queue of each service.
    admission_queue_settings queue;
    /// Limits of the retries of each service.
    retry_budget_settings retries;
    /// This life of the instance, as the owner of its claims.
    claim_owner owner;
};

} // namespace chervilport
