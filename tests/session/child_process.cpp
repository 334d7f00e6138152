#include "tests/session/child_process.h"

#include <csignal>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace chervilport {

child_process::child_process(const std::string& path, const std::vector<std::string>& arguments)
{
    // Everything that allocates happens before the fork.
    std::vector<char*> words { const_cast<char*>(path.c_str()) };
    for (const auto& argument : arguments)
        words.push_back(const_cast<char*>(argument.c_str()));
    words.push_back(nullptr);
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork");
    if (m_pid == 0) {
        // A test that crashes must not leave its processes behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::execv(path.c_str(), words.data());
        ::_exit(127);
    }
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
    return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

void child_process::kill()
{
    signal(SIGKILL);
    wait();
}

} // namespace chervilport
