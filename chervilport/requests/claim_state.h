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

/// Bounds of the claims of a domain.
struct claim_settings {
    /// Time for which an ended claim is remembered while there is room.
    log_duration retention = std::chrono::hours(24);
    /// Time for which an ended claim is remembered in any case: a resend within it never runs again.
    log_duration minRetention = std::chrono::minutes(10);
    /// Bytes of all claims; about 42,000 claims without responses. Beyond it the oldest stored responses are dropped
    /// first; their claims are kept, so that their requests still do not run again. Then the oldest ended claims beyond
    /// the assured time are dropped. If that does not suffice, new claims are refused.
    std::size_t maxBytes = 24U << 20U;
    /// Largest response that is stored.
    std::size_t maxResponseBytes = 256U << 10U;
};

/// State of a claim.
enum class claim_status : std::uint8_t {
    /// Its owner may be running it.
    Running,
    /// It has run.
    Completed,
    /// It may have run.
    Uncertain,
};

/// What is remembered of one claim.
struct claim_record {
    /// Where it stands.
    claim_status status = claim_status::Running;
    /// Who claimed it.
    claim_owner owner;
    /// Number of the claim at its owner.
    std::uint64_t number = 0;
    /// Hash of the request.
    std::string bodyHash;
    /// While running: when it becomes uncertain. Afterwards: when it ended.
    log_time statusTime;
    /// The response, if it is stored.
    std::optional<http_response> response;
};

/// All claims of a domain. Steps in the same order at the same times lead to the same state on every replica.
struct claim_state {
    /// Bounds; part of the state machine, therefore the same on all replicas.
    claim_settings settings;
    /// Claims by key.
    std::map<claim_key, claim_record> records;
    /// Running claims by the time at which they become uncertain. Derived from the records, like the following.
    std::set<std::pair<log_time, claim_key>> running;
    /// Ended claims by time.
    std::set<std::pair<log_time, claim_key>> ended;
    /// Ended claims with a stored response by time.
    std::set<std::pair<log_time, claim_key>> stored;
    /// Bytes of all records.
    std::size_t bytes = 0;
};

/// Answer to a step.
enum class claim_verdict : std::uint8_t {
    /// The owner may run the request, or the step of the owner was accepted.
    Granted,
    /// The request has run; its response is given, if it is still stored.
    Completed,
    /// Another owner may be running the request.
    StillRunning,
    /// The request may have run.
    Uncertain,
    /// The key belongs to another request.
    KeyReused,
    /// There is no room for another claim.
    Full,
};

/// Answer to a step, with the stored response.
struct claim_reply {
    /// The answer.
    claim_verdict verdict = claim_verdict::Granted;
    /// Stored response of a completed claim.
    std::optional<http_response> response;
};

/// Applies a step at its log time.
claim_reply applyClaimStep(claim_state&, const claim_step&, log_time now);

/// Adds a claim of a snapshot.
void restoreClaim(claim_state&, const claim_key&, claim_record);

/// Encodes the whole state for a snapshot.
std::string encodeClaimState(const claim_state&);

/// Decodes a state; the settings are those of a new state. Throws chervilport_error of kind StorageFailure if the bytes
/// are not a whole state.
claim_state decodeClaimState(std::string_view bytes);

} // namespace chervilport
