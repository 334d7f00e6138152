#pragma once

#include "chervilport/requests/claim_state.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes the reply to a claim step, which the leader sends to the instance that submitted the step.
std::string encodeClaimReply(const claim_reply&);

/// Decodes a reply. Throws chervilport_error of kind Internal if the bytes are not a complete reply.
claim_reply decodeClaimReply(std::string_view bytes);

} // namespace chervilport
