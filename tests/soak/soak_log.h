#pragma once

#include <string_view>

namespace chervilport::soak {

/// Sets the time from which log lines count.
void startLogClock();

/// Writes a line with the milliseconds since the last `startLogClock` to standard output.
void logLine(std::string_view event, std::string_view detail);

} // namespace chervilport::soak
