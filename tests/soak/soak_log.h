#pragma once

#include <string_view>

namespace chervilport::soak {

/// Sets the start of traffic, from which lines count their time.
void startLogClock();

/// Writes a line with the time since the start of traffic in milliseconds.
void logLine(std::string_view event, std::string_view detail);

} // namespace chervilport::soak
