#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace chervilport {

/// Reports wrong usage: throws chervilport_error of kind InvalidRequest.
[[noreturn]] void failUsage(const std::string& message);

/// Throws as failUsage does when a subcommand has arguments besides its name.
void requireNoArguments(int argc);

/// Parses a non-negative integer; `option` names it in the error. Throws as failUsage does when the text is not one.
std::uint64_t readCount(const char* option, const char* text);

/// Returns the content of a file, or of standard input when the path is `-`. Throws as failUsage does when the file
/// cannot be read.
std::string readDocument(const std::string& path);

/// Formats a JSON value for a table cell: a string without quotes, `-` for null, JSON text otherwise.
std::string formatCell(const nlohmann::json& value);

} // namespace chervilport
