#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"

#include <string>
#include <string_view>

namespace chervilport::batch {

/// Encodes a batch for the replicated log.
std::string encodeBatch(const command_batch&);

/// Decodes the output of `encodeBatch`. Throws chervilport_error `StorageFailure` on other bytes.
command_batch decodeBatch(std::string_view);

/// Encodes the state for a snapshot.
std::string encodeState(const batch_state&);

/// Decodes the output of `encodeState`. Throws chervilport_error `StorageFailure` on other bytes.
batch_state decodeState(std::string_view);

} // namespace chervilport::batch
