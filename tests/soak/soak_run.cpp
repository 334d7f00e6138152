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

    /// Instances of each role, one in each failure domain.
    constexpr std::size_t instancesPerRole = 3;
    constexpr auto pollInterval = 50ms;
    /// Longest time from the start of the processes to the acknowledgement of the first configuration.
    constexpr auto startTimeout = 60s;
    /// Time without faults before the final check of all jobs.
    constexpr auto finalCheckDelay = 4s;

    /// Runs the context until the condition holds or the timeout has passed; returns whether it holds.
    bool runUntil(
        asio::io_context& context, std::chrono::steady_clock::duration timeout, const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
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

    void logSummary(const soak_clients& clients, const soak_operator& operators, std::size_t faults)
    {
        logLine("summary",
            "faults=" + std::to_string(faults) + " accepted=" + std::to_string(clients.accepted()) + " refused="
                + std::to_string(clients.refused()) + " unclear=" + std::to_string(clients.unknownOutcomes())
                + " config_version=" + std::to_string(operators.acknowledgedVersion())
                + " config_reads=" + std::to_string(operators.reads()));
    }

} // namespace

std::vector<std::string> runSoak(const soak_options& options, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto folder = makeFolder(options);
    asio::io_context context(1);
    http_client httpClient(context);
    invariant_checker checker;
    soak_cluster cluster(context, options.program, folder, instancesPerRole);
    executor_fleet fleet(context, cluster, checker, httpClient, options.executors, random());
    soak_operator operators(context, cluster, checker, httpClient, random());
    soak_clients clients(context, cluster, checker, httpClient, operators, random());
    fault_injector injector(context, cluster, fleet, checker);

    // Start all processes, which have to work in any order of their starts, and wait for the first configuration.
    startLogClock();
    logLine("start", "seed=" + std::to_string(seed) + " folder=" + folder);
    cluster.startAll();
    fleet.start();
    operators.start();
    if (!runUntil(context, startTimeout, [&] { return operators.isConfigured(); }))
        checker.reportViolation("the first configuration is acknowledged", "not acknowledged within the start timeout");

    // Inject faults while the clients and operators are active, and wait until the faults are over.
    startLogClock();
    clients.start(options.length);
    injector.start(makeFaultPlan(random(), options.length));
    runUntil(context, options.length, [] { return false; });
    operators.stopChanging();
    clients.stopSubmitting();
    runUntil(context, options.drainTimeout, [&] { return injector.isOver(); });

    // With probability 0.5, kill all core processes once more, right after the last acknowledgements.
    if (random() % 2 == 0) {
        logLine("fault", "kill_all_cores at the end");
        injector.killAllCores(500ms);
    }
    // Wait until all jobs have ended, then check the final state.
    runUntil(context, options.drainTimeout,
        [&] { return injector.isOver() && clients.pendingSubmissions() == 0 && checker.unfinishedJobs().empty(); });
    runUntil(context, finalCheckDelay, [] { return false; });
    checker.checkFinalState();
    logSummary(clients, operators, injector.count());
    auto violations = checker.violations();
    if (violations.empty() && options.folder.empty())
        std::filesystem::remove_all(folder);
    return violations;
}

} // namespace chervilport::soak
