#include "process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr const char* program = "target/apps/chervilportd/chervilportd";
    constexpr int logMode = 0644;
    constexpr int cannotRun = 127;

} // namespace

process::process(const std::string& settings, const std::string& log)
{
    // Allocate before the fork: malloc is not safe in the child of a process with threads.
    std::string path = program;
    std::string option = "--platform";
    auto variable = "CHERVILPORT_CONFIG=" + settings;
    std::array<char*, 3> arguments { path.data(), option.data(), nullptr };
    std::array<char*, 2> variables { variable.data(), nullptr };
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork");
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), variables.data());
        ::_exit(cannotRun);
    }
    ::close(output);
}

process::~process() { kill(); }

bool process::ownsSocket(const std::string& inode) const
{
    std::error_code error;
    const std::filesystem::path folder("/proc/" + std::to_string(m_pid) + "/fd");
    for (std::filesystem::directory_iterator each(folder, error), end; !error && each != end; each.increment(error)) {
        std::error_code unreadable;
        if (std::filesystem::read_symlink(each->path(), unreadable) == "socket:[" + inode + ']')
            return true;
    }
    return false;
}

void process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void process::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool process::hasEnded()
{
    if (m_pid <= 0 || ::waitpid(m_pid, nullptr, WNOHANG) != m_pid)
        return false;
    m_pid = -1;
    return true;
}

} // namespace review
