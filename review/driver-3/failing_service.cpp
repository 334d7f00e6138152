#include "review/driver-3/callers.h"
#include "review/driver-3/cases.h"
#include "review/driver-3/cluster.h"
#include "review/driver-3/executor.h"
#include "review/driver-3/record.h"
#include "review/driver-3/run_ledger.h"
#include "review/driver-3/wait_until.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace chervilport::review {

namespace {

    using namespace std::chrono_literals;
    using clock = std::chrono::steady_clock;

    constexpr const char* prefix = "/reviews/";
    constexpr const char* key = "d4a3hwrr6x73d3zji9n7";
    constexpr const char* job = "5c0e7a21d94b36f8";
    constexpr std::size_t executorCount = 8;
    /// Time at work after which a run fails, and for which the runs do so.
    constexpr auto timeToFailure = 500ms;
    constexpr auto failingTime = 40s;
    constexpr auto startPatience = 15s;
    constexpr auto watchTime = 65s;
    /// A lasting task has to run again 6 s after its last run, if there is capacity for 3 s.
    constexpr auto longestGap = 9s;
    constexpr auto checkInterval = 20ms;

    nlohmann::json makeJob()
    {
        const nlohmann::json step { { "count", 1 }, { "cpu", 5'600 }, { "mem_mb", 16'000 }, { "gpu", 1 },
            { "long_running", true } };
        return { { "spec", "service" }, { "steps", { step } } };
    }

} // namespace

case_result runFailingService(record& log, bool hasTrouble)
{
    cluster site({ 3, 2 }, log);
    run_ledger ledger(log, true);
    site.startAll();
    site_operator admin(site, log);
    if (!admin.putConfig(makeConfig(1, { { "r-1", prefix } }, { { "kaje80", key } }), startPatience))
        return case_result::NotRun;
    const auto end = clock::now() + failingTime;
    const auto fails = [hasTrouble, end] { return hasTrouble && clock::now() < end; };
    std::vector<std::unique_ptr<executor>> executors;
    for (std::size_t i = 0; i < executorCount; ++i) {
        executor_options options;
        options.id = "i-7f3a91c" + std::to_string(i);
        options.ip = site.standinIp(i);
        options.service = serviceName;
        options.zone = "pnw-sea";
        options.rack = "r1-1";
        options.workOf = [fails](const std::string&) {
            return fails() ? std::optional<std::chrono::milliseconds>(timeToFailure) : std::nullopt;
        };
        options.failsAt = [](const std::string&) { return true; };
        options.controlAddresses = [&site] { return site.controlAddresses(); };
        executors.push_back(std::make_unique<executor>(options, log, ledger));
    }
    site_client client(site, log, key);
    if (!client.submit(prefix, job, makeJob())
        || !waitUntil(startPatience, [&] { return ledger.countRunning(job) == 1; }))
        return case_result::NotRun;

    // Measure for how long nothing runs.
    const auto watchEnd = clock::now() + watchTime;
    auto lastAtWork = clock::now();
    clock::duration longest {};
    while (clock::now() < watchEnd) {
        if (ledger.countRunning(job) > 0)
            lastAtWork = clock::now();
        longest = std::max(longest, clock::now() - lastAtWork);
        std::this_thread::sleep_for(checkInterval);
    }
    log.add(std::to_string(ledger.countStarts(job)) + " starts; nothing ran for "
        + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()) + " ms at most, with "
        + std::to_string(executorCount) + " idle executors");
    return longest > longestGap ? case_result::Broken : case_result::Held;
}

} // namespace chervilport::review
