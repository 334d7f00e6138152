#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chervilport {

/// Writes lines to a file descriptor on its own thread, so that a stalled reader does not block the callers. Lines that
/// do not fit into the queue are dropped and counted; the count is written when the reader continues. Thread-safe.
class line_writer {
public:
    /// Default capacity of the queue, in bytes.
    static constexpr std::size_t defaultQueueBytes = std::size_t { 1 } << 20;

    /// Starts the thread. The descriptor must stay open until the process exits.
    explicit line_writer(int descriptor, std::size_t queueBytes = defaultQueueBytes);
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;
    /// Waits at most 200 ms for queued lines to be written, then ends the thread.
    ~line_writer();

    /// Queues a line, which must end with a line feed. Never waits for the reader.
    void write(std::string_view line);

    /// Returns the number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
