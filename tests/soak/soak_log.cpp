#include "tests/soak/soak_log.h"

#include <chrono>
#include <iostream>

namespace chervilport::soak {

namespace {

    std::chrono::steady_clock::time_point& startTime()
    {
        static auto start = std::chrono::steady_clock::now();
        return start;
    }

} // namespace

void startLogClock() { startTime() = std::chrono::steady_clock::now(); }

void logLine(std::string_view event, std::string_view detail)
{
    const auto since
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startTime());
    std::cout << since.count() << " ms " << event << ": " << detail << '\n' << std::flush;
}

} // namespace chervilport::soak
