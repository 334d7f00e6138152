#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::explain {

/// A parsed logfmt line of an instance's log.
struct log_line {
    /// A field of the line.
    struct field {
        /// Name in snake_case.
        std::string key;
        /// Value without quotes and escapes.
        std::string value;
    };

    /// Instance that wrote the line; the name of the file when the line does not contain it.
    std::string instance;
    /// Time as written, ISO 8601, so that comparing texts orders lines by time.
    std::string time;
    /// Name of the event.
    std::string event;
    /// Fields after the event, in the order of the line.
    std::vector<field> fields;
};

/// Parses a line; returns nothing when it has no time or no event. A word before the time, as log collectors add it, is
/// the name of the instance; otherwise `file` is.
std::optional<log_line> parseLogLine(std::string_view text, std::string_view file);

/// Returns the value of a field, or an empty string when the line does not have it.
std::string_view valueOf(const log_line&, std::string_view key);

} // namespace chervilport::explain
