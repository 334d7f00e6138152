#include "benchmarks/requests/child_process.h"

#include <csignal>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace chervilport {

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments)
{
    std::vector<char*> raw { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        raw.push_back(const_cast<char*>(argument.c_str()));
    raw.push_back(nullptr);
    const auto error = posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, raw.data(), environ);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), program);
}

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, 0))
    , m_status(other.m_status)
{
}

child_process::~child_process()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    wait();
}

void child_process::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

int child_process::wait()
{
    if (m_pid > 0)
        waitpid(m_pid, &m_status, 0);
    m_pid = 0;
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

bool child_process::hasEnded()
{
    if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid == 0;
}

double child_process::residentMb() const
{
    std::ifstream statm("/proc/" + std::to_string(m_pid) + "/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    constexpr double bytesPerMb = 1 << 20;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / bytesPerMb;
}

} // namespace chervilport
