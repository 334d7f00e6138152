#pragma once

#include "chervilport/requests/claim_state.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes the answer to a claim step for the way from the leader to the instance that asked.
std::string encodeClaimReply(const claim_reply&);

/// Decodes an answer. Throws chervilport_error of kind Internal on bytes that are none.
claim_reply decodeClaimReply(std::string_view bytes);

} // namespace chervilport
