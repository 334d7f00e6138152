#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilport {

/// A process started by the benchmark; the destructor kills it.
class child_process {
public:
    /// Starts a program. Throws std::system_error.
    child_process(const std::string& program, const std::vector<std::string>& arguments);
    ~child_process();

    child_process(child_process&&) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Sends a signal.
    void signal(int number) const;

    /// Waits until the process ends and returns its exit code, or -1 if a signal ended it.
    int wait();

    /// Returns whether the process has ended.
    bool hasEnded();

    /// Returns the resident memory in megabytes (2^20 bytes).
    double residentMb() const;

private:
    pid_t m_pid = 0;
    int m_status = 0;
};

} // namespace chervilport
