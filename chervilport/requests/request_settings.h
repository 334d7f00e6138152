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

/// Settings of the request path.
struct request_settings {
    /// Access rules.
    access_policy access;
    /// Accepted workspaces; empty to accept every name.
    std::set<std::string, std::less<>> workspaces;
    /// Deadline of requests without `Chervilport-Deadline-Ms`, counted from receipt.
    log_duration defaultDeadline = std::chrono::seconds(30);
    /// Longest deadline; longer ones are reduced to it.
    log_duration maxDeadline = std::chrono::minutes(10);
    /// Longest duration of an attempt. Must equal slot_share_settings::maxAttemptDuration, which determines how long
    /// the leader waits before it grants the slots of a lost instance again: a longer attempt could exceed the slots of
    /// its executor.
    log_duration maxAttemptDuration = std::chrono::seconds(30);
    /// Maximum number of attempts of one request, including the first.
    int maxAttempts = 3;
    /// Time after the deadline of a request at which its claim becomes uncertain; allows for the delay until the end of
    /// the claim is committed.
    log_duration claimMargin = std::chrono::seconds(10);
    /// Largest body of a response in bytes.
    std::size_t maxResponseBytes = 1U << 20U;
    /// Largest total size in bytes of the bodies of all pending requests.
    std::size_t maxPendingBytes = 16U << 20U;
    /// Settings of the queue of each service.
    admission_queue_settings queue;
    /// Settings of the retry budget of each service.
    retry_budget_settings retries;
    /// This incarnation of the instance, as the owner of its claims.
    claim_owner owner;
};

} // namespace chervilport
