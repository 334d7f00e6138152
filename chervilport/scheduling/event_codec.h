#pragma once

#include "chervilport/scheduling/event.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes an event for the replicated log.
std::string encodeEvent(const event&);

/// Decodes an event. Throws chervilport_error of kind StorageFailure if the bytes are not exactly one event.
event decodeEvent(std::string_view bytes);

} // namespace chervilport
