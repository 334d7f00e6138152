#include "benchmarks/requests/scenarios.h"

#include <exception>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

namespace {

constexpr const char* usage = "Usage: bench_requests [--seed N] [--scale X] [--output FILE]\n";

struct options {
    std::uint64_t seed = 1;
    double scale = 1;
    std::string output = "build/bench/requests.json";
};

bool readOptions(int argc, char** argv, options& given)
{
    static const option longOptions[] = {
        { "seed", required_argument, nullptr, 's' },
        { "scale", required_argument, nullptr, 'x' },
        { "output", required_argument, nullptr, 'o' },
        {},
    };
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (chosen == 's')
            given.seed = std::stoull(optarg);
        else if (chosen == 'x')
            given.scale = std::stod(optarg);
        else if (chosen == 'o')
            given.output = optarg;
        else
            return false;
    }
    return optind == argc;
}

template <typename Value> nlohmann::ordered_json toJson(const std::optional<Value>& value)
{
    return value ? nlohmann::ordered_json(*value) : nlohmann::ordered_json();
}

nlohmann::ordered_json toJson(const chervilport::scenario_row& row, std::uint64_t seed)
{
    return { { "scenario", row.scenario }, { "seed", seed }, { "requests", row.requests },
        { "results", toJson(row.results) }, { "lost", row.lost }, { "cut", row.wrongResults },
        { "double_runs", row.doubleRuns }, { "false_not_run", row.falseNotRun },
        { "added_p50_ms", toJson(row.addedP50Ms) }, { "direct_p99_ms", toJson(row.directP99Ms) },
        { "p99_ms", toJson(row.p99Ms) }, { "requests_per_s", toJson(row.requestsPerSecond) },
        { "slot_use", toJson(row.slotUtilization) }, { "fairness", toJson(row.fairness) },
        { "resident_mb", toJson(row.residentMb) }, { "most_running", toJson(row.mostRunning) } };
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    try {
        if (!readOptions(argc, argv, given)) {
            std::cerr << usage;
            return 2;
        }
        auto rows = nlohmann::ordered_json::array();
        for (const auto& row : chervilport::runScenarios(given.seed, given.scale))
            rows.push_back(toJson(row, given.seed));
        std::filesystem::create_directories(std::filesystem::path(given.output).parent_path());
        std::ofstream(given.output) << rows.dump(2) << '\n';
        std::cout << rows.dump(2) << '\n';
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "bench_requests: " << error.what() << '\n';
        return 1;
    }
}
