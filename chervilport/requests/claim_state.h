#pragma once

#include "chervilport/requests/claim_step.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace chervilport {

/// Limits on the claims of a failure domain.
struct claim_settings {
    /// Time for which an ended claim is kept while the claims are within `maxBytes`.
    log_duration retention = std::chrono::hours(24);
    /// Time for which an ended claim is always kept: a resend within this time never runs again.
    log_duration minRetention = std::chrono::minutes(10);
    /// Largest size of all claims in bytes; about 42,000 claims without responses. Above it, the oldest stored
    /// responses are evicted first; their claims are kept, so that their requests still do not run again. Then the
    /// oldest claims that ended more than `minRetention` ago are evicted. If that does not suffice, new claims are
    /// refused.
    std::size_t maxBytes = 24U << 20U;
    /// Largest response that is stored, in bytes.
    std::size_t maxResponseBytes = 256U << 10U;
};

/// State of a claim.
enum class claim_status : std::uint8_t {
    /// The owner may be running the request.
    Running,
    /// The request has run.
    Completed,
    /// The request may have run.
    Uncertain,
};

/// One claim: the right of an instance to run a non-idempotent request.
struct claim_record {
    /// State of the claim.
    claim_status status = claim_status::Running;
    /// Instance that holds the claim.
    claim_owner owner;
    /// Number of the claim at its owner.
    std::uint64_t number = 0;
    /// Hash of method, target and body of the request.
    std::string bodyHash;
    /// While running: time at which the claim becomes uncertain. Afterwards: time at which it ended.
    log_time statusTime;
    /// Stored response, if any.
    std::optional<http_response> response;
};

/// All claims of a failure domain; a state machine that is replicated through the log of the domain. The same steps in
/// the same order at the same log times lead to the same state on every replica.
struct claim_state {
    /// Limits; part of the state machine, therefore equal on all replicas.
    claim_settings settings;
    /// Claims by key.
    std::map<claim_key, claim_record> records;
    /// Running claims by the time at which they become uncertain. Derived from the records, like the members below.
    std::set<std::pair<log_time, claim_key>> running;
    /// Ended claims by the time of their end.
    std::set<std::pair<log_time, claim_key>> ended;
    /// Ended claims with a stored response, by the time of their end.
    std::set<std::pair<log_time, claim_key>> stored;
    /// Size of all records in bytes.
    std::size_t bytes = 0;
};

/// Result of a step.
enum class claim_verdict : std::uint8_t {
    /// The owner may run the request, or the step of the owner was applied.
    Granted,
    /// The request has run; the reply contains its response if it is still stored.
    Completed,
    /// Another owner may be running the request.
    StillRunning,
    /// The request may have run.
    Uncertain,
    /// The key was used for another request.
    KeyReused,
    /// The claims have reached `maxBytes`.
    Full,
};

/// Reply to a step.
struct claim_reply {
    /// Result of the step.
    claim_verdict verdict = claim_verdict::Granted;
    /// Stored response of a completed claim.
    std::optional<http_response> response;
};

/// Applies a step at its log time, after expiring the claims that are due by then.
claim_reply applyClaimStep(claim_state&, const claim_step&, log_time now);

/// Adds a claim that was read from a snapshot.
void restoreClaim(claim_state&, const claim_key&, claim_record);

/// Encodes the complete state for a snapshot.
std::string encodeClaimState(const claim_state&);

/// Decodes a state; the settings are those of a new state. Throws chervilport_error of kind StorageFailure if the bytes
/// are not a complete state.
claim_state decodeClaimState(std::string_view bytes);

} // namespace chervilport
