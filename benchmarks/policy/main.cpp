// Measures the scheduling policy against the baselines on generated event streams.
#include "benchmarks/policy/policy_driver.h"
#include "benchmarks/policy/report.h"
#include "benchmarks/policy/stream_generator.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <exception>
#include <getopt.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace chervilport::policy_benchmark;

namespace {

/// Default number of threads; more would disturb other work on the machine.
constexpr std::size_t defaultThreads = 4;

/// Number of workers of a site above which only the first seed is run.
constexpr std::int32_t multiSeedMaxWorkers = 100;

struct arguments {
    std::vector<std::uint64_t> seeds { 1, 2, 3 };
    std::vector<std::int32_t> loads { 700, 900, 1100 };
    std::vector<std::string> schedulers = schedulerNames();
    std::string profile;
    std::string output = "build/bench/policy.json";
    std::size_t threads = defaultThreads;
};

constexpr const char* usage = "usage: bench_policy [--seed N] [--profile NAME] [--load 0.7|0.9|1.1]\n"
                              "                    [--scheduler NAME] [--threads N] [--output FILE]\n";

arguments parse(int count, char** values)
{
    const option options[]
        = { { "seed", required_argument, nullptr, 's' }, { "profile", required_argument, nullptr, 'p' },
              { "load", required_argument, nullptr, 'l' }, { "scheduler", required_argument, nullptr, 'c' },
              { "threads", required_argument, nullptr, 't' }, { "output", required_argument, nullptr, 'o' }, {} };
    arguments parsed;
    for (int chosen = 0; (chosen = getopt_long(count, values, "", options, nullptr)) != -1;) {
        switch (chosen) {
        case 's':
            parsed.seeds = { std::stoull(optarg) };
            break;
        case 'p':
            parsed.profile = optarg;
            break;
        case 'l':
            parsed.loads = { static_cast<std::int32_t>(std::lround(std::stod(optarg) * 1000)) };
            break;
        case 'c':
            parsed.schedulers = { optarg };
            break;
        case 't':
            parsed.threads = std::max(1UL, std::stoul(optarg));
            break;
        case 'o':
            parsed.output = optarg;
            break;
        default:
            throw std::invalid_argument(usage);
        }
    }
    return parsed;
}

// A stream with the runs of all schedulers on it.
struct stream_runs {
    event_stream stream;
    std::vector<std::optional<run_record>> records;
    std::vector<std::string> errors;
};

std::vector<stream_runs> makeStreams(const arguments& chosen)
{
    std::vector<stream_runs> all;
    for (const auto& site : allProfiles()) {
        if (!chosen.profile.empty() && chosen.profile != site.name)
            continue;
        for (const auto load : chosen.loads) {
            for (const auto seed : chosen.seeds) {
                // A run of a large site takes minutes; several seeds would make a run of all profiles too long.
                if (site.workers > multiSeedMaxWorkers && seed != chosen.seeds.front())
                    continue;
                stream_runs runs { .stream = generateStream(site, load, seed) };
                runs.records.resize(chosen.schedulers.size());
                runs.errors.resize(chosen.schedulers.size());
                all.push_back(std::move(runs));
            }
        }
    }
    if (all.empty())
        throw std::invalid_argument("unknown profile " + chosen.profile);
    return all;
}

void runOne(stream_runs& runs, std::size_t index, const std::string& name)
{
    try {
        const auto tested = makeScheduler(name);
        policy_driver driver(runs.stream, tested);
        runs.records[index] = driver.run();
    } catch (const std::exception& error) {
        runs.errors[index] = error.what();
    }
}

// Runs all pairs of stream and scheduler, the large streams first because they take longest.
void runAll(std::vector<stream_runs>& all, const arguments& chosen)
{
    std::vector<std::pair<std::size_t, std::size_t>> work;
    for (std::size_t scheduler = 0; scheduler < chosen.schedulers.size(); ++scheduler) {
        for (std::size_t stream = 0; stream < all.size(); ++stream)
            work.emplace_back(stream, scheduler);
    }
    std::stable_sort(work.begin(), work.end(), [&](const auto& a, const auto& b) {
        return all[a.first].stream.workers.size() > all[b.first].stream.workers.size();
    });
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < chosen.threads; ++i) {
        threads.emplace_back([&] {
            for (auto item = next++; item < work.size(); item = next++) {
                const auto [stream, scheduler] = work[item];
                runOne(all[stream], scheduler, chosen.schedulers[scheduler]);
            }
        });
    }
}

std::vector<result_row> makeRows(const std::vector<stream_runs>& all, const arguments& chosen)
{
    std::vector<result_row> rows;
    for (const auto& runs : all) {
        std::vector<const run_record*> records;
        std::vector<std::string> names;
        for (std::size_t i = 0; i < runs.records.size(); ++i) {
            if (!runs.records[i])
                continue;
            records.push_back(&*runs.records[i]);
            names.push_back(chosen.schedulers[i]);
        }
        const auto measures = measureRuns(runs.stream, records);
        for (std::size_t i = 0; i < records.size(); ++i)
            rows.push_back({ runs.stream.site.name, runs.stream.loadPermille, names[i], runs.stream.seed, measures[i],
                *records[i] });
    }
    return rows;
}

// Prints the runs that broke a rule and returns their number.
int printErrors(const std::vector<stream_runs>& all, const arguments& chosen)
{
    int errors = 0;
    for (const auto& runs : all) {
        for (std::size_t i = 0; i < runs.errors.size(); ++i) {
            if (runs.errors[i].empty())
                continue;
            ++errors;
            std::fprintf(stderr, "FAILED %s load %.1f seed %llu %s: %s\n", runs.stream.site.name.c_str(),
                runs.stream.loadPermille / 1000.0, static_cast<unsigned long long>(runs.stream.seed),
                chosen.schedulers[i].c_str(), runs.errors[i].c_str());
        }
    }
    return errors;
}

} // namespace

int main(int count, char** values)
{
    try {
        const auto chosen = parse(count, values);
        auto all = makeStreams(chosen);
        runAll(all, chosen);
        const auto rows = makeRows(all, chosen);
        writeJson(chosen.output, rows);
        printTables(rows);
        return printErrors(all, chosen) == 0 ? 0 : 1;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
