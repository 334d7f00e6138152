#pragma once

#include "chervilport/configuration/configuration_command.h"
#include "chervilport/configuration/configuration_state.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes a command as a log payload (CBOR).
std::string encodeCommand(const configuration_command&);

/// Decodes a command. Throws chervilport_error of kind StorageFailure on invalid bytes.
configuration_command decodeCommand(std::string_view);

/// Encodes the state as a snapshot (CBOR). Equal states give equal bytes.
std::string encodeConfigurationState(const configuration_state&);

/// Decodes a state. Throws chervilport_error of kind StorageFailure on invalid bytes.
configuration_state decodeConfigurationState(std::string_view);

} // namespace chervilport
