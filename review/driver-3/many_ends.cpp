#include "review/driver-3/callers.h"
#include "review/driver-3/cases.h"
#include "review/driver-3/cluster.h"
#include "review/driver-3/executor.h"
#include "review/driver-3/record.h"
#include "review/driver-3/run_ledger.h"
#include "review/driver-3/wait_until.h"

#include <algorithm>
#include <thread>

namespace chervilport::review {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* prefix = "/reviews/";
    constexpr const char* key = "d4a3hwrr6x73d3zji9n7";
    constexpr const char* job = "5c0e7a21d94b36f8";
    constexpr std::size_t taskCount = 620;
    /// Work of a task; the sheets have kinds of 2.5 to 11 s.
    constexpr auto work = 9s;
    constexpr auto startPatience = 15s;
    constexpr auto endPatience = 45s;
    constexpr auto ackPatience = 3s;
    constexpr auto stateInterval = 500ms;
    constexpr std::size_t breaksToRecord = 5;

    nlohmann::json makeJob()
    {
        const nlohmann::json step { { "count", taskCount }, { "cpu", 100 }, { "mem_mb", 64 },
            { "est_duration_ms", std::chrono::milliseconds(work).count() } };
        return { { "spec", "route risk review" }, { "steps", { step } } };
    }

} // namespace

case_result runManyEnds(record& log, bool hasTrouble)
{
    cluster site({ 3, 2 }, log);
    run_ledger ledger(log, false);
    site.startAll();
    site_operator admin(site, log);
    const auto config = makeConfig(1, { { "r-1", prefix } }, { { "kaje80", key } });
    if (!admin.putConfig(config, startPatience))
        return case_result::NotRun;
    executor_options options;
    options.id = "i-7f3a91c2";
    options.ip = site.standinIp(0);
    options.service = serviceName;
    options.zone = "pnw-sea";
    options.rack = "r1-1";
    options.workOf = [](const std::string&) { return work; };
    options.controlAddresses = [&site] { return site.controlAddresses(); };
    executor worker(options, log, ledger);

    // Let all tasks start.
    site_client client(site, log, key);
    if (!client.submit(prefix, job, makeJob())
        || !waitUntil(startPatience, [&] { return ledger.countRunning(job) == taskCount; })) {
        log.add(std::to_string(ledger.countRunning(job)) + " tasks run, not all");
        return case_result::NotRun;
    }
    log.add("all " + std::to_string(taskCount) + " tasks run");

    // Kill the leader as the first task ends; the platform starts it again.
    if (!waitUntil(startPatience, [&] { return ledger.countTasks(job, "done") > 0; }))
        return case_result::NotRun;
    if (hasTrouble) {
        const auto leader = site.findLeader();
        if (!leader)
            return case_result::NotRun;
        site.killCore(*leader);
        std::this_thread::sleep_for(1s);
        site.startCore(*leader);
    }
    waitUntil(
        endPatience, [&] { return client.stateOf(prefix, job) == "completed"; }, stateInterval);
    // Ends are taken note of with the next polls.
    std::this_thread::sleep_for(ackPatience);

    // Judge.
    const auto breaks = ledger.findDoubleRuns();
    log.add(std::to_string(ledger.countStarts(job)) + " starts of " + std::to_string(taskCount) + " tasks, "
        + std::to_string(ledger.countTasks(job, "done")) + " of them done, " + std::to_string(ledger.countNoted(job))
        + " ends taken note of; breaks of TWICE: " + std::to_string(breaks.size()));
    for (std::size_t i = 0; i < std::min(breaks.size(), breaksToRecord); ++i)
        log.add("TWICE: " + breaks[i]);
    site.areAllRunning();
    return breaks.empty() ? case_result::Held : case_result::Broken;
}

} // namespace chervilport::review
