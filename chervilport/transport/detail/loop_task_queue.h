#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace chervilport {

/// Passes tasks from any thread to the KJ event loop; an eventfd wakes the loop.
class loop_task_queue {
public:
    /// Creates an open queue. Throws chervilport_error `Unavailable` when the process has no free file descriptor.
    loop_task_queue();
    loop_task_queue(const loop_task_queue&) = delete;
    loop_task_queue& operator=(const loop_task_queue&) = delete;
    ~loop_task_queue();

    /// Adds a task. Returns false and drops the task when the queue is closed. Safe on any thread.
    bool post(std::function<void()> task);

    /// Runs tasks as they are added. The promise never resolves; destroying it stops the queue. Only on the loop
    /// thread.
    kj::Promise<void> run(kj::LowLevelAsyncIoProvider&);

    /// Closes the queue and runs the remaining tasks. Only on the loop thread.
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
