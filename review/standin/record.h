#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Steady time used by all stand-ins.
using steady_time = std::chrono::steady_clock::time_point;

/// Writes what was sent, answered and run to a file, one line each, with the time since the start in milliseconds.
/// Thread-safe.
class record {
public:
    /// Creates the file. Throws std::runtime_error when it cannot be opened.
    explicit record(const std::string& path);

    /// Writes a line.
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady_time m_begin;
};

/// Returns the time of day in Unix milliseconds.
std::int64_t wallMs();

} // namespace review
