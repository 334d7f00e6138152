#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"

#include <string>
#include <string_view>

namespace chervilport::batch {

/// Encodes a batch for the log.
std::string encodeBatch(const command_batch&);

/// Decodes what `encodeBatch` wrote. Throws chervilport_error `StorageFailure` on anything else.
command_batch decodeBatch(std::string_view);

/// Encodes the whole state for a snapshot.
std::string encodeState(const batch_state&);

/// Decodes what `encodeState` wrote. Throws chervilport_error `StorageFailure` on anything else.
batch_state decodeState(std::string_view);

} // namespace chervilport::batch
