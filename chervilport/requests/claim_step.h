#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"
#include "chervilport/requests/claim_key.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilport {

/// Kind of a step in the life of a claim.
enum class claim_step_kind : std::uint8_t {
    /// An instance asks to run the request.
    Claim = 1,
    /// The request has run; the response is stored.
    Complete = 2,
    /// The request may have run; there is no response.
    Uncertain = 3,
    /// The request was provably not sent; the key is free again.
    Release = 4,
    /// All earlier lives of the owner have ended; their running claims become uncertain.
    OwnerLost = 5,
};

/// Who runs a request: one life of an instance.
struct claim_owner {
    /// Name of the instance.
    std::string instance;
    /// Life of the instance; a later one is larger.
    std::uint64_t incarnation = 0;

    friend bool operator==(const claim_owner&, const claim_owner&) = default;
};

/// A step as it is written to the domain's log.
struct claim_step {
    /// What happens.
    claim_step_kind kind = claim_step_kind::Claim;
    /// Which request; unused by `OwnerLost`.
    claim_key key;
    /// Whose step it is.
    claim_owner owner;
    /// Number of the claim, unique within the life of the owner. A step repeated after a lost reply has the same one.
    std::uint64_t number = 0;
    /// Hash of method, target and body, by which a key that is used for another request is recognized.
    std::string bodyHash;
    /// For `Claim`: time after which the request counts as uncertain if its owner has not ended the claim.
    log_duration uncertainAfter {};
    /// For `Complete`: the response; nothing if it is too large to be stored.
    std::optional<http_response> response;
};

/// Encodes a step for the log.
std::string encodeClaimStep(const claim_step&);

/// Decodes a step. Throws chervilport_error of kind StorageFailure if the bytes are not a whole step.
claim_step decodeClaimStep(std::string_view bytes);

} // namespace chervilport
