#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace chervilport::review {

/// The record of a case: what was sent, answered and run, with the time since the start.
class record {
public:
    /// Opens the file, and drops what it held.
    explicit record(const std::string& path);

    /// Writes a line.
    void add(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_begin;
};

} // namespace chervilport::review
