#pragma once

#include "chervilport/control/leader_relay.h"
#include "chervilport/http/http_message.h"

namespace chervilport {

/// Whether a call can change something, so that its outcome matters when no answer came.
bool isMutating(const http_request&);

/// Returns the answer to a caller at the end of a relayed call. Without an answer of the leader a call that changes
/// something is only reported as not run when no leader can have taken it up: a refusal of a later attempt is not
/// passed on when an earlier one may have run.
http_response responseFor(const relay_outcome&, bool isChange);

} // namespace chervilport
