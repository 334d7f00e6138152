#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"
#include "chervilport/requests/claim_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilport {

/// Kind of a claim step.
enum class claim_step_kind : std::uint8_t {
    /// An instance requests the right to run the request.
    Claim = 1,
    /// The request has run; its response is stored unless it is too large.
    Complete = 2,
    /// The request may have run; there is no response.
    Uncertain = 3,
    /// The request has certainly not run; the key is free again.
    Release = 4,
    /// All earlier incarnations of the owner have ended; their running claims become uncertain.
    OwnerLost = 5,
};

/// Owner of a claim: one incarnation of an instance.
struct claim_owner {
    /// Name of the instance.
    std::string instance;
    /// Incarnation of the instance; increases with every restart.
    std::uint64_t incarnation = 0;

    friend bool operator==(const claim_owner&, const claim_owner&) = default;
};

/// A step as written to the log of the failure domain.
struct claim_step {
    /// Kind of the step.
    claim_step_kind kind = claim_step_kind::Claim;
    /// Request that the step concerns; unused by `OwnerLost`.
    claim_key key;
    /// Owner that submits the step; for `OwnerLost` the present incarnation of the instance.
    claim_owner owner;
    /// Number of the claim, unique within the incarnation of the owner. A step that is repeated after a lost reply has
    /// the same number.
    std::uint64_t number = 0;
    /// Hash of method, target and body; detects a key that is reused for another request.
    std::string bodyHash;
    /// For `Claim`: time after which the claim becomes uncertain if its owner has not ended it.
    log_duration uncertainAfter {};
    /// For `Complete`: the response; empty if it is too large to be stored.
    std::optional<http_response> response;
};

/// Encodes a step for the log.
std::string encodeClaimStep(const claim_step&);

/// Decodes a step. Throws chervilport_error of kind StorageFailure if the bytes are not a complete step.
claim_step decodeClaimStep(std::string_view bytes);

} // namespace chervilport
