#include "chervilport/logging/event_log.h"

#include "chervilport/logging/event_rate.h"
#include "chervilport/logging/log.h"

#include <chrono>

namespace chervilport {

namespace {

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
    }

    void appendValue(std::string& line, std::string_view value)
    {
        if (!needsQuotes(value)) {
            line += value;
            return;
        }
        line += '"';
        for (const char each : value) {
            if (each == '"' || each == '\\')
                line += '\\';
            // Control characters would break the line.
            const bool isControl = static_cast<unsigned char>(each) < ' ';
            line += isControl ? ' ' : each;
        }
        line += '"';
    }

} // namespace

void logEvent(std::string_view event, const std::vector<log_field>& fields, log_level level)
{
    const auto permit = takeEventPermit(event, std::chrono::steady_clock::now());
    if (!permit)
        return;
    std::string line = "event=";
    line += event;
    for (const auto& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    if (permit->suppressed > 0)
        line += " suppressed=" + std::to_string(permit->suppressed);
    writeLog(level, line);
}

} // namespace chervilport
