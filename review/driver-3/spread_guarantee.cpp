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
    constexpr const char* patientJob = "00aa7a21d94b3600";
    constexpr std::size_t executorCount = 4;
    /// Accelerators of an executor and of the tenant's guarantee.
    constexpr std::int64_t accelerators = 8;
    constexpr auto startPatience = 15s;
    /// `reclaim_ms`.
    constexpr auto reclaimTime = 3'400ms;
    /// Time for which the job is watched after its bound.
    constexpr auto watchTime = 30s;
    constexpr auto urgentWork = 2'500ms;

    nlohmann::json makePatientJob()
    {
        const nlohmann::json step { { "count", executorCount }, { "cpu", 26'000 }, { "mem_mb", 140'000 },
            { "gpu", accelerators }, { "long_running", true } };
        return { { "spec", "service" }, { "steps", { step } } };
    }

    /// A job within the guarantee whose tasks run on different executors.
    nlohmann::json makeUrgentJob()
    {
        const nlohmann::json step { { "count", executorCount }, { "cpu", 7'500 }, { "mem_mb", 22'000 },
            { "gpu", accelerators / static_cast<std::int64_t>(executorCount) }, { "max_per_server", 1 },
            { "gang", true }, { "est_duration_ms", std::chrono::milliseconds(urgentWork).count() } };
        return { { "spec", "incident report" }, { "steps", { step } } };
    }

} // namespace

case_result runSpreadGuarantee(record& log, bool hasTrouble)
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
        // Only starts are judged, so that no task ends during the case.
        options.workOf = [](const std::string&) { return std::nullopt; };
        options.controlAddresses = [&site] { return site.controlAddresses(); };
        executors.push_back(std::make_unique<executor>(options, log, ledger));
    }

    // Another tenant takes what is idle.
    site_client patient(site, log, patientKey);
    if (hasTrouble && (!patient.submit(patientPrefix, patientJob, makePatientJob()) || !waitUntil(startPatience, [&] {
            return ledger.countRunning(patientJob) == executorCount;
        })))
        return case_result::NotRun;
    if (!hasTrouble)
        std::this_thread::sleep_for(5s);

    // The guaranteed job has to begin all tasks within the bound.
    site_client urgent(site, log, urgentKey);
    if (!urgent.submit(urgentPrefix, urgentJob, makeUrgentJob()))
        return case_result::NotRun;
    const bool hasBegun = waitUntil(reclaimTime, [&] { return ledger.countStarts(urgentJob) >= executorCount; });
    log.add(std::to_string(ledger.countStarts(urgentJob)) + " of " + std::to_string(executorCount)
        + " tasks have begun after reclaim_ms");
    const bool hasBegunLater = waitUntil(watchTime, [&] { return ledger.countStarts(urgentJob) >= executorCount; });
    log.add(std::to_string(ledger.countStarts(urgentJob)) + " of " + std::to_string(executorCount)
        + (hasBegunLater ? " tasks have begun since" : " tasks have begun 30 s later"));
    urgent.stateOf(urgentPrefix, urgentJob);
    return hasBegun ? case_result::Held : case_result::Broken;
}

} // namespace chervilport::review
