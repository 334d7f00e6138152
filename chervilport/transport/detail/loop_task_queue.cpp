#include "chervilport/transport/detail/loop_task_queue.h"

#include "chervilport/core/chervilport_error.h"

#include <cassert>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace chervilport {

loop_task_queue::loop_task_queue()
    : m_eventFd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_eventFd < 0)
        throw chervilport_error(error_kind::Unavailable, "transport: no file descriptor for an eventfd");
}

loop_task_queue::~loop_task_queue() { ::close(m_eventFd); }

bool loop_task_queue::post(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed)
        return false;
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() == 1) {
        const std::uint64_t one = 1;
        // The write cannot fail: there is one wake-up per emptied list, so the counter stays far below its maximum.
        [[maybe_unused]] const auto written = ::write(m_eventFd, &one, sizeof(one));
        assert(written == sizeof(one));
    }
    return true;
}

kj::Promise<void> loop_task_queue::run(kj::LowLevelAsyncIoProvider& provider)
{
    auto input = provider.wrapInputFd(
        m_eventFd, kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC);
    auto& stream = *input;
    return readLoop(stream).attach(kj::mv(input));
}

kj::Promise<void> loop_task_queue::readLoop(kj::AsyncInputStream& input)
{
    return input.read(&m_wakeups, sizeof(m_wakeups)).then([this, &input] {
        runTasks();
        return readLoop(input);
    });
}

void loop_task_queue::runTasks()
{
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (auto& task : tasks)
        task();
}

void loop_task_queue::close()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    runTasks();
}

} // namespace chervilport
