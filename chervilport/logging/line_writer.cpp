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

    /// Time that the destructor gives a reader to take the last lines.
    constexpr std::chrono::milliseconds lastLinesTime { 200 };

} // namespace

struct line_writer::implementation {
    int descriptor = -1;
    std::size_t limit = 0;
    std::mutex guard;
    std::condition_variable changed;
    std::string waiting;
    std::uint64_t dropped = 0;
    std::uint64_t reported = 0;
    bool stopping = false;
    bool idle = false;

    std::string take()
    {
        std::unique_lock lock(guard);
        idle = true;
        changed.notify_all();
        changed.wait(lock, [this] { return stopping || !waiting.empty(); });
        idle = false;
        auto taken = std::exchange(waiting, {});
        if (dropped > reported)
            taken += "event=log_lines_dropped count=" + std::to_string(dropped - reported) + '\n';
        reported = dropped;
        return taken;
    }

    bool isStopping()
    {
        const std::lock_guard lock(guard);
        return stopping && waiting.empty();
    }

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
            // Nobody can be told that the log itself is gone.
            if (written < 0 && errno != EINTR)
                return;
        }
    }

    void run()
    {
        while (!isStopping())
            writeAll(take());
    }
};

line_writer::line_writer(int descriptor, std::size_t queueBytes)
    : m_implementation(std::make_shared<implementation>())
{
    m_implementation->descriptor = descriptor;
    m_implementation->limit = queueBytes;
    // The thread shares ownership, because it may still be blocked on the reader when the process ends.
    std::thread([shared = m_implementation] { shared->run(); }).detach();
}

line_writer::~line_writer()
{
    auto& state = *m_implementation;
    std::unique_lock lock(state.guard);
    state.changed.wait_for(lock, lastLinesTime, [&] { return state.idle && state.waiting.empty(); });
    state.stopping = true;
    state.changed.notify_all();
}

void line_writer::write(std::string_view line)
{
    auto& state = *m_implementation;
    const std::lock_guard lock(state.guard);
    if (state.waiting.size() + line.size() > state.limit) {
        ++state.dropped;
        return;
    }
    state.waiting += line;
    state.changed.notify_all();
}

std::uint64_t line_writer::dropped() const
{
    const std::lock_guard lock(m_implementation->guard);
    return m_implementation->dropped;
}

} // namespace chervilport
