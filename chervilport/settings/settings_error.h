#pragma once

#include <cstdint>
#include <string>

namespace chervilport {

/// One fault found in a settings file.
struct settings_error {
    /// Path of the file as it was given.
    std::string file;
    /// Line, from 1; 0 where no line is at fault.
    std::uint32_t line = 0;
    /// Full key, for example `listen.http`; empty for a syntax error.
    std::string key;
    /// What is wrong and what is allowed.
    std::string message;

    friend bool operator==(const settings_error&, const settings_error&) = default;
};

/// Returns the fault as one line: `file:line: key: message`.
std::string describe(const settings_error&);

} // namespace chervilport
