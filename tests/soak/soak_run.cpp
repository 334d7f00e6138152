#include "tests/soak/soak_run.h"

#include "chervilport/http/http_client.h"
#include "tests/soak/executor_fleet.h"
#include "tests/soak/fault_injector.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_clients.h"
#include "tests/soak/soak_cluster.h"
#include "tests/soak/soak_log.h"
#include "tests/soak/soak_operator.h"

#include <asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <random>
#include <unistd.h>

namespace chervilport::soak {

namespace {

    using namespace std::chrono_literals;

    /// Instances of each role, one to a failure domain.
    constexpr std::size_t instances = 3;
    constexpr auto pollInterval = 50ms;
    /// Time for the first configuration after the start of the processes.
    constexpr auto startLimit = 60s;
    /// Calm time before the last look at all jobs.
    constexpr auto lastLookTime = 4s;

    /// Runs the context until the condition holds; returns whether it did in time.
    bool runUntil(
        asio::io_context& context, std::chrono::steady_clock::duration limit, const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            context.run_for(pollInterval);
        }
        return true;
    }

    std::string makeFolder(const soak_options& options)
    {
        if (!options.folder.empty()) {
            std::filesystem::create_directories(options.folder);
            return options.folder;
        }
        auto pattern = (std::filesystem::temp_directory_path() / "chervilport-soak-XXXXXX").string();
        return ::mkdtemp(pattern.data());
    }

    void logSummary(const soak_callers& callers, const soak_operator& configuration, std::size_t faults)
    {
        logLine("summary",
            "faults=" + std::to_string(faults) + " accepted=" + std::to_string(callers.accepted())
                + " refused=" + std::to_string(callers.refused()) + " unclear=" + std::to_string(callers.unclear())
                + " config_version=" + std::to_string(configuration.acknowledged())
                + " config_reads=" + std::to_string(configuration.reads()));
    }

} // namespace

std::vector<std::string> playSoak(const soak_options& options, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto folder = makeFolder(options);
    asio::io_context context(1);
    http_client client(context);
    job_ledger ledger;
    soak_site site(context, options.program, folder, instances);
    executor_fleet fleet(context, site, ledger, client, options.executors, random());
    soak_operator configuration(context, site, ledger, client, random());
    soak_callers callers(context, site, ledger, client, configuration, random());
    fault_injector injector(context, site, fleet, ledger);

    // A first start in any order, then traffic.
    startLogClock();
    logLine("start", "seed=" + std::to_string(seed) + " folder=" + folder);
    site.startAll();
    fleet.start();
    configuration.start();
    if (!runUntil(context, startLimit, [&] { return configuration.isConfigured(); }))
        ledger.report("a first configuration is taken", "not within the time for the start");

    // Faults while all callers go on.
    startLogClock();
    callers.start();
    injector.start(makeFaultPlan(random(), options.length));
    runUntil(context, options.length, [] { return false; });
    configuration.stopChanging();
    callers.stopSubmitting();
    runUntil(context, options.settle, [&] { return injector.isOver(); });

    // Sometimes everything dies once more right after the last acknowledgement.
    if (random() % 2 == 0) {
        logLine("fault", "kill_all_cores at the end");
        injector.killAllCores(500ms);
    }
    runUntil(context, options.settle,
        [&] { return injector.isOver() && callers.openSubmissions() == 0 && ledger.unfinished().empty(); });
    runUntil(context, lastLookTime, [] { return false; });
    ledger.checkSettled();
    logSummary(callers, configuration, injector.count());
    auto violations = ledger.violations();
    if (violations.empty() && options.folder.empty())
        std::filesystem::remove_all(folder);
    return violations;
}

} // namespace chervilport::soak
