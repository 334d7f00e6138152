#pragma once

#include "chervilport/transport/configuration_copy.h"
#include "chervilport/transport/envelope.h"
#include "chervilport/transport/forward_call.h"

#include <peer.capnp.h>

namespace chervilport {

/// Writes an envelope into a message builder.
void writeEnvelope(wire::Envelope::Builder, const envelope&);

/// Reads an envelope. Throws chervilport_error `InvalidRequest` for an invalid content and kj::Exception for invalid
/// pointers.
envelope readEnvelope(wire::Envelope::Reader);

/// Writes a forwarded call.
void writeCall(wire::Call::Builder, const forward_call&);

/// Reads a forwarded call. Throws as `readEnvelope`.
forward_call readCall(wire::Call::Reader);

/// Writes a reply to a forwarded call.
void writeReply(wire::CallReply::Builder, const forward_reply&);

/// Reads a reply to a forwarded call. Throws as `readEnvelope`.
forward_reply readReply(wire::CallReply::Reader);

/// Returns the reason of a refused `hello` for logs.
const char* textOf(wire::Refusal);

} // namespace chervilport
