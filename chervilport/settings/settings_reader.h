#pragma once

#include "chervilport/settings/settings.h"
#include "chervilport/settings/settings_error.h"

#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// What reading settings gives: the settings, and all faults found. The settings are usable only without faults.
struct settings_result {
    /// The settings; defaults stand where a key is missing or wrong.
    settings values;
    /// All faults in the order of their lines.
    std::vector<settings_error> errors;
};

/// Reads settings from TOML text; `file` names the source in faults.
settings_result readSettings(std::string_view text, const std::string& file);

/// Reads settings from a file. A file that cannot be read is a fault.
settings_result readSettingsFile(const std::string& path);

/// Returns whether the text is an IP address and a port, for example `127.0.0.1:7400` or `[::1]:7400`.
bool isIpAddressAndPort(std::string_view text);

/// Returns whether the address part of an address and port is a loopback address.
bool isLoopback(std::string_view addressAndPort);

} // namespace chervilport
