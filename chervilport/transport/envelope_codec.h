#pragma once

#include "chervilport/transport/envelope.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes an envelope as a packed Cap'n Proto message.
std::string encodeEnvelope(const envelope&);

/// Decodes an envelope. Throws chervilport_error `InvalidRequest` when the bytes are not a valid envelope.
envelope decodeEnvelope(std::string_view bytes);

} // namespace chervilport
