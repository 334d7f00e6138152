#include "tests/soak/soak_run.h"

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace {

using chervilport::soak::soak_options;

/// One soak to run.
struct planned_run {
    std::uint64_t seed = 0;
    soak_options options;
};

/// Reads the runs from the seed file. A line has the seed, the length in seconds and the cause of the failure. Throws
/// std::runtime_error when the file cannot be read or a line is invalid.
std::vector<planned_run> readSeedFile(const soak_options& options)
{
    std::ifstream file(options.seedFile);
    if (!file)
        throw std::runtime_error("cannot read the seed file " + options.seedFile);
    std::vector<planned_run> runs;
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.front() == '#')
            continue;
        planned_run run { 0, options };
        std::int64_t seconds = 0;
        if (!(std::istringstream(line) >> run.seed >> seconds))
            throw std::runtime_error(options.seedFile + ": expected a seed and a length in the line: " + line);
        run.options.length = std::chrono::seconds(seconds);
        runs.push_back(std::move(run));
    }
    return runs;
}

std::vector<planned_run> planRuns(const soak_options& options)
{
    if (!options.seedFile.empty())
        return readSeedFile(options);
    std::vector<planned_run> runs;
    for (std::size_t i = 0; i < options.runs; ++i)
        runs.push_back({ options.seed + i, options });
    return runs;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto options = chervilport::soak::readSoakOptions(argc, argv);
    std::size_t passed = 0;
    std::size_t failed = 0;
    try {
        for (const auto& run : planRuns(options)) {
            const auto violations = chervilport::soak::runSoak(run.options, run.seed);
            std::cout << "seed " << run.seed << ": " << violations.size() << " broken promises\n";
            ++(violations.empty() ? passed : failed);
        }
    } catch (const std::exception& error) {
        std::cerr << "the soak failed: " << error.what() << '\n';
        return 2;
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
