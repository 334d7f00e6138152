#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilport {

/// A process started by a test. It is killed with its owner.
class child_process {
public:
    /// Starts a program.
    child_process(const std::string& path, const std::vector<std::string>& arguments);
    ~child_process();

    child_process(child_process&&) noexcept;
    child_process& operator=(child_process&&) noexcept;

    /// Returns the process id, -1 after the end.
    pid_t pid() const { return m_pid; }

    /// Sends a signal.
    void signal(int number) const;

    /// Waits for the end and returns the exit code, or minus the number of the signal that ended it.
    int wait();

    /// Sends SIGKILL and waits.
    void kill();

private:
    pid_t m_pid = -1;
};

} // namespace chervilport
