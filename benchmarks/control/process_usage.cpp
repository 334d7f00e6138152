#include "benchmarks/control/process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace chervilport {

process_usage readProcessUsage(pid_t pid)
{
    const auto folder = "/proc/" + std::to_string(pid);
    process_usage usage;

    // Of the fields after the name in parentheses, the 12th and 13th are user and kernel time in clock ticks.
    std::ifstream stat(folder + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double kernel = 0;
    fields >> user >> kernel;
    usage.cpuSeconds = (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));

    std::ifstream statm(folder + "/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    usage.residentBytes = resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace chervilport
