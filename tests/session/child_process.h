#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilport {

/// Environment variables and output of a process.
struct child_environment {
    /// Variables as NAME=VALUE. Variables of the test are not inherited.
    std::vector<std::string> variables;
    /// Open descriptor for standard output and error; -1 to inherit those of the test.
    int output = -1;
    /// Whether the process starts with SIGTERM blocked, so that a SIGTERM before its main function waits until the
    /// program has installed its handler and unblocks it.
    bool startsWithBlockedTermination = false;
};

/// A process started by a test. The destructor kills it.
class child_process {
public:
    /// Starts a program with the environment and output of the test. Throws std::runtime_error when fork fails.
    child_process(const std::string& path, const std::vector<std::string>& arguments);
    /// Starts a program with its own variables and output. Throws std::runtime_error when fork fails.
    child_process(const std::string& path, const std::vector<std::string>& arguments, const child_environment&);
    ~child_process();

    child_process(child_process&&) noexcept;
    child_process& operator=(child_process&&) noexcept;

    /// Returns the process id; -1 after `wait`, `poll` or `kill` has returned the end.
    pid_t pid() const { return m_pid; }

    /// Sends a signal. Does nothing after the end.
    void signal(int number) const;

    /// Waits for the end. Returns the exit code, or minus the number of the signal that ended the process.
    int wait();

    /// Returns the result of `wait` when the process has ended, otherwise nothing.
    std::optional<int> poll();

    /// Sends SIGKILL and waits for the end.
    void kill();

private:
    pid_t m_pid = -1;
};

} // namespace chervilport
