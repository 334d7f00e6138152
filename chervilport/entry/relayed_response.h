#pragma once

#include "chervilport/control/leader_relay.h"
#include "chervilport/http/http_message.h"

namespace chervilport {

/// Returns whether a call can change state, so that its outcome matters when no response arrived.
bool isMutating(const http_request&);

/// Returns the response to the client at the end of a relayed call. A mutating call (`isChange`) is reported as not run
/// only when no leader can have executed it: the refusal of a later attempt is replaced by `OutcomeUnknown` when an
/// earlier attempt may have run.
http_response responseFor(const relay_outcome&, bool isChange);

} // namespace chervilport
