#include "review/driver-3/callers.h"
#include "review/driver-3/cases.h"
#include "review/driver-3/cluster.h"
#include "review/driver-3/executor.h"
#include "review/driver-3/record.h"
#include "review/driver-3/run_ledger.h"
#include "review/driver-3/wait_until.h"

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
    /// Time after which the job must have ended: its work, the longest lease, `finish_s` and more.
    constexpr auto endPatience = 40s;
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
    const bool isCompleted = waitUntil(
        endPatience, [&] { return client.stateOf(prefix, job) == "completed"; }, stateInterval);
    log.add(std::to_string(ledger.countStarts(job)) + " starts of the task, "
        + (isCompleted ? "the job is completed" : "the job has not ended and nothing of it runs"));
    return isCompleted ? case_result::Held : case_result::Broken;
}

} // namespace chervilport::review
