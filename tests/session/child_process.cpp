#include "tests/session/child_process.h"

#include <csignal>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace chervilport {

namespace {

    /// Returns pointers to the words, followed by a null pointer.
    std::vector<char*> pointersTo(const std::vector<std::string>& words)
    {
        std::vector<char*> pointers;
        pointers.reserve(words.size() + 1);
        for (const auto& word : words)
            pointers.push_back(const_cast<char*>(word.c_str()));
        pointers.push_back(nullptr);
        return pointers;
    }

    std::vector<std::string> commandOf(const std::string& path, const std::vector<std::string>& arguments)
    {
        std::vector<std::string> words { path };
        words.insert(words.end(), arguments.begin(), arguments.end());
        return words;
    }

    /// Starts a program. It inherits the variables of the test when `variables` is null, and its output when `output`
    /// is -1.
    pid_t launch(const std::vector<std::string>& command, char* const* variables, int output)
    {
        // Allocate before the fork: malloc is not safe in the child of a process with threads.
        const auto words = pointersTo(command);
        const auto pid = ::fork();
        if (pid < 0)
            throw std::runtime_error("cannot fork");
        if (pid > 0)
            return pid;
        // Kill the child when the test crashes.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (output >= 0) {
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
        }
        ::execve(words.front(), words.data(), variables == nullptr ? environ : variables);
        ::_exit(127);
    }

    /// Starts a program with SIGTERM blocked.
    pid_t launchWithBlockedTermination(const std::vector<std::string>& command, char* const* variables, int output)
    {
        sigset_t blocked;
        sigset_t earlier;
        ::sigemptyset(&blocked);
        ::sigaddset(&blocked, SIGTERM);
        ::sigprocmask(SIG_BLOCK, &blocked, &earlier);
        const auto pid = launch(command, variables, output);
        ::sigprocmask(SIG_SETMASK, &earlier, nullptr);
        return pid;
    }

    pid_t launch(const std::vector<std::string>& command, const child_environment& environment)
    {
        const auto variables = pointersTo(environment.variables);
        return environment.startsWithBlockedTermination
            ? launchWithBlockedTermination(command, variables.data(), environment.output)
            : launch(command, variables.data(), environment.output);
    }

    int exitResult(int status) { return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status); }

} // namespace

child_process::child_process(const std::string& path, const std::vector<std::string>& arguments)
    : m_pid(launch(commandOf(path, arguments), nullptr, -1))
{
}

child_process::child_process(
    const std::string& path, const std::vector<std::string>& arguments, const child_environment& environment)
    : m_pid(launch(commandOf(path, arguments), environment))
{
}

child_process::~child_process() { kill(); }

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

void child_process::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

int child_process::wait()
{
    if (m_pid <= 0)
        return 0;
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return exitResult(status);
}

std::optional<int> child_process::poll()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = -1;
    return exitResult(status);
}

void child_process::kill()
{
    signal(SIGKILL);
    wait();
}

} // namespace chervilport
