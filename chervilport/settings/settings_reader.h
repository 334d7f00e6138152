#pragma once

#include "chervilport/settings/settings.h"
#include "chervilport/settings/settings_error.h"

#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Result of reading settings. The settings are valid only if there are no errors.
struct settings_result {
    /// The settings, with the default wherever a key is missing or invalid.
    settings values;
    /// All errors: those of single keys in the order of their lines, then those that span several keys.
    std::vector<settings_error> errors;
};

/// Reads settings from TOML text. `file` names the source in errors.
settings_result readSettings(std::string_view text, const std::string& file);

/// Reads settings from a file. A file that cannot be read gives one error.
settings_result readSettingsFile(const std::string& path);

/// Returns whether the text is an IP address and a port, for example `127.0.0.1:7400` or `[::1]:7400`.
bool isIpAddressAndPort(std::string_view text);

/// Returns whether the address of an address and port is a loopback address.
bool isLoopback(std::string_view addressAndPort);

} // namespace chervilport
