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

    constexpr const char* prefix = "/reviews/";
    constexpr const char* key = "d4a3hwrr6x73d3zji9n7";
    constexpr const char* job = "5c0e7a21d94b36f8";
    /// Kind of the executor that the task needs; the others are of another kind.
    constexpr const char* rareKind = "b";
    /// The dose of `clock_step`.
    constexpr auto clockStep = 2'000ms;
    /// One of them is at most 0.3 of all machines and 0.15 of the executors.
    constexpr std::size_t executorCount = 8;
    constexpr auto startPatience = 15s;
    constexpr auto work = 5s;
    /// Time from the start of the task to the crash, and from the crash to the next life.
    constexpr auto timeToCrash = 300ms;
    constexpr auto downTime = 500ms;
    /// `finish_s`, and the time for which the job is watched after it.
    constexpr auto finishTime = 14s;
    constexpr auto watchTime = 20s;
    /// Time for which nothing may run while there is capacity.
    constexpr auto idleBound = 3s;
    constexpr auto checkInterval = 20ms;
    constexpr auto stateInterval = 1s;

    nlohmann::json makeJob()
    {
        const nlohmann::json step { { "count", 1 }, { "cpu", 5'600 }, { "mem_mb", 16'000 }, { "gpu", 1 },
            { "required_label", rareKind }, { "est_duration_ms", std::chrono::milliseconds(work).count() } };
        return { { "spec", "route risk review" }, { "steps", { step } } };
    }

} // namespace

case_result runClockBack(record& log, bool hasTrouble)
{
    cluster site({ 3, 2 }, log);
    run_ledger ledger(log, true);
    site.startAll();
    site_operator admin(site, log);
    if (!admin.putConfig(makeConfig(1, { { "r-1", prefix } }, { { "kaje80", key } }), startPatience))
        return case_result::NotRun;

    // An executor starts while its time of day is ahead, and gets a task.
    const auto makeOptions = [&site](std::size_t number) {
        executor_options options;
        options.id = "i-7f3a91c" + std::to_string(number);
        options.ip = site.standinIp(number);
        options.service = serviceName;
        options.zone = "pnw-sea";
        options.rack = "r1-1";
        options.workOf = [](const std::string&) { return work; };
        options.controlAddresses = [&site] { return site.controlAddresses(); };
        return options;
    };
    auto options = makeOptions(0);
    options.kind = rareKind;
    options.clockError = hasTrouble ? clockStep : 0ms;
    executor worker(options, log, ledger);
    site_client client(site, log, key);
    if (!client.submit(prefix, job, makeJob())
        || !waitUntil(startPatience, [&] { return ledger.countRunning(job) == 1; }))
        return case_result::NotRun;

    // The others start. The time of day is right again; the executor crashes and is back under its id.
    std::vector<std::unique_ptr<executor>> others;
    for (std::size_t i = 1; i < executorCount; ++i)
        others.push_back(std::make_unique<executor>(makeOptions(i), log, ledger));
    if (hasTrouble) {
        std::this_thread::sleep_for(timeToCrash);
        worker.crash();
        std::this_thread::sleep_for(downTime);
        worker.restart();
    }

    // `finish_s` later, the job has ended, or something of it runs at least once in each 3 s.
    const auto isCompleted = [&] { return client.stateOf(prefix, job) == "completed"; };
    bool hasEnded = waitUntil(finishTime, isCompleted, stateInterval);
    const auto watchEnd = std::chrono::steady_clock::now() + watchTime;
    auto lastAtWork = std::chrono::steady_clock::now();
    std::chrono::steady_clock::duration longest {};
    while (!hasEnded && std::chrono::steady_clock::now() < watchEnd) {
        std::this_thread::sleep_for(checkInterval);
        if (ledger.countRunning(job) > 0)
            lastAtWork = std::chrono::steady_clock::now();
        longest = std::max(longest, std::chrono::steady_clock::now() - lastAtWork);
        hasEnded = ledger.countTasks(job, "done") > 0;
    }
    client.stateOf(prefix, job);
    log.add(std::to_string(ledger.countStarts(job)) + " starts of the task, "
        + (hasEnded ? std::string("the job has ended")
                    : "nothing of the job ran for "
                    + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(longest).count())
                    + " ms after finish_s, with " + std::to_string(executorCount) + " idle executors"));
    return longest >= idleBound ? case_result::Broken : case_result::Held;
}

} // namespace chervilport::review
