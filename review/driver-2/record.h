#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The record of a case: one line for each call, answer and run, with the time since the start in milliseconds.
class record {
public:
    /// Opens the file and empties it.
    explicit record(const std::string& path);

    /// Appends a line. Safe on any thread.
    void write(const std::string& line);

    /// Returns the milliseconds since the record was opened.
    std::int64_t nowMs() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
};

} // namespace review
