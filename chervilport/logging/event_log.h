#pragma once

#include "chervilport/logging/log_level.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// One field of a logfmt line.
struct log_field {
    /// Name in snake_case.
    std::string_view key;
    /// Value as text; quoted when it is written, if necessary.
    std::string value;

    /// Creates a field with a text value.
    log_field(std::string_view name, std::string text)
        : key(name)
        , value(std::move(text))
    {
    }
    /// Creates a field with a text value.
    log_field(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    /// Creates a field with a text value.
    log_field(std::string_view name, const char* text)
        : key(name)
        , value(text)
    {
    }
    /// Creates a field with an integer value.
    template <typename Number>
    requires std::is_integral_v<Number> log_field(std::string_view name, Number number)
        : key(name)
        , value(std::to_string(number))
    {
    }
};

/// Writes one logfmt line `event=NAME key=value ...`. Lines of one event are rate-limited; the next line of the event
/// has the number of lines that were not written in the field `suppressed`. Never blocks on the reader of the log.
void logEvent(std::string_view event, const std::vector<log_field>& fields, log_level = log_level::Info);

} // namespace chervilport
