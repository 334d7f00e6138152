#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace chervilport {

/// Throws chervilport_error of kind InvalidRequest.
[[noreturn]] void failUsage(const std::string& message);

/// Throws when a subcommand that takes no arguments has some besides its name.
void requireNoArguments(int argc);

/// Reads a whole number that is not negative. Throws when the text is none.
std::uint64_t readCount(const char* option, const char* text);

/// Returns the content of a file, of standard input for `-`. Throws when it cannot be read.
std::string readDocument(const std::string& path);

/// Returns a JSON value as the cell of a table.
std::string formatCell(const nlohmann::json& value);

} // namespace chervilport
