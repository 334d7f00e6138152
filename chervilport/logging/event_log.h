#pragma once

#include "chervilport/logging/log_level.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// One field of a structured line.
struct log_field {
    /// Name in snake_case.
    std::string_view key;
    /// Value as text.
    std::string value;

    /// Creates a field from a text.
    log_field(std::string_view name, std::string text)
        : key(name)
        , value(std::move(text))
    {
    }
    /// Creates a field from a text.
    log_field(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    /// Creates a field from a text.
    log_field(std::string_view name, const char* text)
        : key(name)
        , value(text)
    {
    }
    /// Creates a field from a number.
    template <typename Number>
    requires std::is_integral_v<Number> log_field(std::string_view name, Number number)
        : key(name)
        , value(std::to_string(number))
    {
    }
};

/// Writes one logfmt line `event=NAME key=value ...`. The number of lines of one event is limited to a rate; what was
/// left out is counted in the next line of the event as `suppressed`. Never blocks on the reader of the log.
void logEvent(std::string_view event, const std::vector<log_field>& fields, log_level = log_level::Info);

} // namespace chervilport
