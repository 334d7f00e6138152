#include "chervilport/storage/log_store.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <string>
#include <vector>

using namespace chervilport;

namespace {

using bench_clock = std::chrono::steady_clock;

/// Number and size of the entries that a measurement persists.
struct workload {
    const char* name;
    std::size_t steps;
    std::size_t entriesPerStep;
    std::size_t payloadBytes;
};

double microsecondsSince(bench_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(bench_clock::now() - start).count();
}

std::vector<log_entry> entriesFrom(std::uint64_t first, const workload& load)
{
    std::vector<log_entry> entries;
    entries.reserve(load.entriesPerStep);
    for (std::size_t i = 0; i < load.entriesPerStep; ++i)
        entries.push_back({ first + i, 1, entry_kind::Data, std::string(load.payloadBytes, 'x') });
    return entries;
}

/// Persists one workload in its own folder and prints one row.
void measure(const std::string& folder, const workload& load)
{
    data_folder data(realFileSystem(), folder + "/" + load.name, 1);
    log_store store(data, "domain");
    store.load();

    // Every step is durable before the next one starts.
    std::vector<double> durations;
    durations.reserve(load.steps);
    std::uint64_t next = 1;
    const auto start = bench_clock::now();
    for (std::size_t i = 0; i < load.steps; ++i) {
        const auto entries = entriesFrom(next, load);
        const auto begin = bench_clock::now();
        store.persist(std::nullopt, std::nullopt, entries);
        durations.push_back(microsecondsSince(begin));
        next += load.entriesPerStep;
    }
    const auto seconds = microsecondsSince(start) / 1e6;

    const auto loadStart = bench_clock::now();
    const auto state = store.load();
    const auto loadMs = microsecondsSince(loadStart) / 1e3;

    std::sort(durations.begin(), durations.end());
    const auto count = static_cast<double>(load.steps);
    std::printf("  {\"workload\": \"%s\", \"payload_bytes\": %zu, \"commits_per_s\": %.0f, \"entries_per_s\": %.0f, "
                "\"commit_p50_us\": %.0f, \"commit_p99_us\": %.0f, \"load_ms\": %.1f, \"entries_loaded\": %zu}",
        load.name, load.payloadBytes, count / seconds, count * static_cast<double>(load.entriesPerStep) / seconds,
        durations[load.steps / 2], durations[load.steps * 99 / 100], loadMs, state.entries.size());
}

} // namespace

/// Prints the synced commits per second as JSON. The argument is a folder on the disk to measure; the default is the
/// current folder.
int main(int argc, char** argv)
{
    try {
        auto pattern = std::string(argc > 1 ? argv[1] : ".") + "/chervilport-bench-XXXXXX";
        if (::mkdtemp(pattern.data()) == nullptr) {
            std::fprintf(stderr, "cannot create a folder in %s\n", argc > 1 ? argv[1] : ".");
            return EXIT_FAILURE;
        }
        constexpr workload loads[] = {
            { "single", 2000, 1, 200 },
            { "batch-16", 2000, 16, 200 },
            { "batch-64", 1000, 64, 1000 },
        };
        const char* separator = "[\n";
        for (const auto& load : loads) {
            std::printf("%s", separator);
            separator = ",\n";
            measure(pattern, load);
        }
        std::printf("\n]\n");
        std::filesystem::remove_all(pattern);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
