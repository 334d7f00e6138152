#pragma once

#include <string>
#include <sys/types.h>

namespace review {

/// A process of the project, started with the command of the deploy file. It is killed when the object is destroyed.
class process {
public:
    /// Starts `target/apps/chervilportd/chervilportd --platform` in the current folder with a settings file. Its output
    /// goes to the file `log`.
    process(const std::string& settings, const std::string& log);
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Returns whether the process has the socket with this inode number open.
    bool ownsSocket(const std::string& inode) const;

    /// Sends a signal.
    void signal(int number) const;

    /// Sends SIGKILL and waits for the end.
    void kill();

    /// Returns whether the process has ended by itself.
    bool hasEnded();

private:
    pid_t m_pid = -1;
};

} // namespace review
