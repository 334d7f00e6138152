#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::explain {

/// A structured line of an instance's log.
struct log_line {
    /// A field of the line.
    struct field {
        std::string key;
        std::string value;
    };

    /// Instance that wrote it, or the file when the line does not tell.
    std::string instance;
    /// Time as it was written, ISO 8601; texts of one format sort by time.
    std::string time;
    std::string event;
    std::vector<field> fields;
};

/// Reads a line, or nothing when it is no structured one. A word before the time, as log collectors write it, is taken
/// for the name of the instance.
std::optional<log_line> parseLogLine(std::string_view text, std::string_view file);

/// Returns the value of a field, or an empty text.
std::string_view valueOf(const log_line&, std::string_view key);

} // namespace chervilport::explain
