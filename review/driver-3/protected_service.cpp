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

    constexpr const char* urgentPrefix = "/incidents/";
    constexpr const char* patientPrefix = "/reviews/";
    constexpr const char* urgentKey = "d4a3hwrr6x73d3zji9n7";
    constexpr const char* patientKey = "3hh2b9wu3fexd9dnn2ct";
    constexpr const char* urgentJob = "5c0e7a21d94b36f8";
    constexpr const char* protectedJob = "00aa7a21d94b3600";
    constexpr const char* plainJob = "11bb7a21d94b3611";
    constexpr std::size_t executorCount = 2;
    constexpr std::size_t tasksPerJob = 2;
    constexpr std::int64_t accelerators = 8;
    constexpr auto startPatience = 15s;
    constexpr auto plainWork = 60s;
    /// Time at work before the guaranteed job comes.
    constexpr auto settleTime = 5s;
    /// Time in which the guaranteed job takes its room, and more.
    constexpr auto watchTime = 6s;

    nlohmann::json makeJob(const char* spec, const nlohmann::json& more)
    {
        nlohmann::json step { { "count", tasksPerJob }, { "cpu", 7'500 }, { "mem_mb", 22'000 },
            { "gpu", accelerators / static_cast<std::int64_t>(tasksPerJob) } };
        step.update(more);
        return { { "spec", spec }, { "steps", { step } } };
    }

} // namespace

case_result runProtectedService(record& log, bool hasTrouble)
{
    cluster site({ 3, 2 }, log);
    run_ledger ledger(log, true);
    site.startAll();
    site_operator admin(site, log);
    const auto config = makeConfig(1, { { "r-1", urgentPrefix, 0 }, { "r-2", patientPrefix, 2 } },
        { { "kaje80", urgentKey, accelerators }, { "vuda12", patientKey, 0 } });
    if (!admin.putConfig(config, startPatience))
        return case_result::NotRun;
    std::vector<std::unique_ptr<executor>> executors;
    for (std::size_t i = 0; i < executorCount; ++i) {
        executor_options options;
        options.id = "i-7f3a91c" + std::to_string(i);
        options.ip = site.standinIp(i);
        options.service = serviceName;
        options.zone = "pnw-sea";
        options.rack = "r1-1";
        options.accelerators = accelerators;
        options.workOf = [](const std::string& task) -> std::optional<std::chrono::milliseconds> {
            return task.starts_with(plainJob) ? std::optional<std::chrono::milliseconds>(plainWork) : std::nullopt;
        };
        options.controlAddresses = [&site] { return site.controlAddresses(); };
        executors.push_back(std::make_unique<executor>(options, log, ledger));
    }

    // A job of two tasks, and then a service of two tasks of which one may be unavailable, take all room.
    site_client patient(site, log, patientKey);
    const auto plain = makeJob("review", { { "est_duration_ms", std::chrono::milliseconds(plainWork).count() } });
    const auto service = makeJob("service", { { "long_running", true }, { "may_miss", 1 } });
    const auto submit = [&](const char* job, const nlohmann::json& body) {
        return patient.submit(patientPrefix, job, body)
            && waitUntil(startPatience, [&] { return ledger.countRunning(job) == tasksPerJob; });
    };
    if (!submit(plainJob, plain))
        return case_result::NotRun;
    std::this_thread::sleep_for(settleTime);
    if (!submit(protectedJob, service))
        return case_result::NotRun;
    std::this_thread::sleep_for(settleTime);

    // A guaranteed job needs half of the room.
    site_client urgent(site, log, urgentKey);
    if (hasTrouble
        && !urgent.submit(urgentPrefix, urgentJob, makeJob("incident report", { { "est_duration_ms", 2'500 } })))
        return case_result::NotRun;
    std::this_thread::sleep_for(watchTime);
    const auto stopped = ledger.countTasks(protectedJob, "stopped");
    log.add(std::to_string(stopped) + " tasks of the service, of which one may be unavailable, were stopped, "
        + std::to_string(ledger.countTasks(plainJob, "stopped")) + " of the other job");
    return stopped > 1 ? case_result::Broken : case_result::Held;
}

} // namespace chervilport::review
