#pragma once

#include <chrono>
#include <thread>

namespace chervilport::review {

/// Checks a condition at an interval until it holds. Returns whether it held within the patience.
template <typename Condition>
bool waitUntil(std::chrono::milliseconds patience, const Condition& condition,
    std::chrono::milliseconds interval = std::chrono::milliseconds(20))
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(interval);
    }
    return false;
}

} // namespace chervilport::review
