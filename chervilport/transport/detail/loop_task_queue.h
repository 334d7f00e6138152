#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace chervilport {

/// Hands tasks from any thread to the KJ event loop; an eventfd wakes the loop.
class loop_task_queue {
public:
    /// Creates an open mailbox. Throws chervilport_error `Unavailable` when the process is out of descriptors.
    loop_task_queue();
    loop_task_queue(const loop_task_queue&) = delete;
    loop_task_queue& operator=(const loop_task_queue&) = delete;
    ~loop_task_queue();

    /// Queues a task. Returns false, without the task, when the mailbox is closed. Safe on any thread.
    bool post(std::function<void()> task);

    /// Runs tasks as they come. The promise never resolves; drop it to stop. Only on the loop thread.
    kj::Promise<void> run(kj::LowLevelAsyncIoProvider&);

    /// Closes the mailbox and runs the tasks that are left. Only on the loop thread.
    void close();

private:
    kj::Promise<void> readLoop(kj::AsyncInputStream&);
    void runTasks();

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    bool m_closed = false;
    int m_eventFd = -1;
    std::uint64_t m_wakeups = 0;
};

} // namespace chervilport
