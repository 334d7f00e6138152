#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// One error in a settings file.
struct settings_error {
    /// Path of the file, as it was passed to the reader.
    std::string file;
    /// Line, from 1; 0 for an error without a line, such as a missing key.
    std::uint32_t line = 0;
    /// Full key, for example `listen.http`; empty for a syntax error.
    std::string key;
    /// What is wrong, and which values are allowed.
    std::string message;

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// Formats the error as one line: `file:line: key: message`. Omits the line when it is 0 and an empty key.
std::string describe(const settings_error&);

} // namespace chervilport
