#include "chervilport/logging/line_writer.h"

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <poll.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace chervilport {

namespace {

    /// Time that the destructor waits for the reader to take the last lines.
    constexpr std::chrono::milliseconds flushTimeout { 200 };

} // namespace

struct line_writer::implementation {
    int descriptor = -1;
    std::size_t limit = 0;
    std::mutex mutex;
    std::condition_variable changed;
    std::string queue;
    std::uint64_t dropped = 0;
    std::uint64_t reportedDrops = 0;
    bool isStopping = false;
    bool isIdle = false;

    // Waits for lines or the end, and returns the queued lines with the count of dropped ones.
    std::string takeQueued()
    {
        std::unique_lock lock(mutex);
        isIdle = true;
        changed.notify_all();
        changed.wait(lock, [this] { return isStopping || !queue.empty(); });
        isIdle = false;
        auto taken = std::exchange(queue, {});
        if (dropped > reportedDrops)
            taken += "event=log_lines_dropped count=" + std::to_string(dropped - reportedDrops) + '\n';
        reportedDrops = dropped;
        return taken;
    }

    bool isFinished()
    {
        const std::lock_guard lock(mutex);
        return isStopping && queue.empty();
    }

    // Writes all bytes; waits while the descriptor cannot take any.
    void writeAll(const std::string& bytes) const
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
            if (written > 0) {
                done += static_cast<std::size_t>(written);
                continue;
            }
            if (written < 0 && errno == EAGAIN) {
                pollfd waitingFor { descriptor, POLLOUT, 0 };
                poll(&waitingFor, 1, -1);
                continue;
            }
            // The lines are lost: a failure of the log cannot be logged.
            if (written < 0 && errno != EINTR)
                return;
        }
    }

    void run()
    {
        while (!isFinished())
            writeAll(takeQueued());
    }
};

line_writer::line_writer(int descriptor, std::size_t queueBytes)
    : m_implementation(std::make_shared<implementation>())
{
    m_implementation->descriptor = descriptor;
    m_implementation->limit = queueBytes;
    // The thread shares ownership, because it may still be blocked on the reader when this object is destroyed.
    std::thread([shared = m_implementation] { shared->run(); }).detach();
}

line_writer::~line_writer()
{
    auto& state = *m_implementation;
    std::unique_lock lock(state.mutex);
    state.changed.wait_for(lock, flushTimeout, [&] { return state.isIdle && state.queue.empty(); });
    state.isStopping = true;
    state.changed.notify_all();
}

void line_writer::write(std::string_view line)
{
    auto& state = *m_implementation;
    const std::lock_guard lock(state.mutex);
    if (state.queue.size() + line.size() > state.limit) {
        ++state.dropped;
        return;
    }
    state.queue += line;
    state.changed.notify_all();
}

std::uint64_t line_writer::dropped() const
{
    const std::lock_guard lock(m_implementation->mutex);
    return m_implementation->dropped;
}

} // namespace chervilport
