#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chervilport {

/// Writes lines to a file descriptor from a thread of its own, so that a reader that has stopped reading holds nobody
/// up. Lines that find the queue full are dropped and counted; the count is written once the reader takes lines again.
class line_writer {
public:
    /// Bytes of lines that wait at most.
    static constexpr std::size_t defaultQueueBytes = std::size_t { 1 } << 20;

    /// Writes to the descriptor, which stays open for the life of the process.
    explicit line_writer(int descriptor, std::size_t queueBytes = defaultQueueBytes);
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;
    /// Writes what waits, for at most a short time, and ends the thread.
    ~line_writer();

    /// Queues a line that ends with a line feed. Never blocks.
    void write(std::string_view line);

    /// Returns the number of lines that were dropped.
    std::uint64_t dropped() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
