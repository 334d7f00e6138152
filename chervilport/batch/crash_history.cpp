#include "chervilport/batch/crash_history.h"

#include <algorithm>

namespace chervilport::batch {

namespace {

    /// Number of crashes after which a task is given up when each of them points to it alone.
    constexpr std::uint32_t conclusiveCrashes = 2;
    /// Number of crashes after which a task is given up in any case.
    constexpr std::uint32_t maxCrashes = 4;
    /// Time for which an address is remembered after a crash, in milliseconds: several restarts of a worker that
    /// crashes by itself.
    constexpr std::int64_t addressRetentionMs = 60'000;

    std::uint32_t crashesOf(const crash_record& record) { return record.crashes + record.unconfirmedCrashes; }

    /// Returns the record of the run's task, or null when the run was recorded before.
    crash_record* recordRun(crash_history& history, const run_ref& run, std::int64_t timeMs)
    {
        auto& record = history.tasks[run.task];
        if (std::find(record.runs.begin(), record.runs.end(), run.run) != record.runs.end())
            return nullptr;
        record.runs.push_back(run.run);
        record.lastMs = timeMs;
        return &record;
    }

    void removeExpiredAddresses(crash_history& history, std::int64_t nowMs)
    {
        std::erase_if(history.addresses, [&](const auto& entry) { return entry.second + addressRetentionMs < nowMs; });
    }

} // namespace

std::vector<task_ref> recordCrash(crash_history& history, const worker_crash& crash)
{
    const bool isConclusive = crash.isOfOneJob && !hasCrashedLately(history, crash.address, crash.timeMs);
    std::vector<task_ref> givenUp;
    for (const auto& run : crash.runs) {
        auto* const record = recordRun(history, run, crash.timeMs);
        if (record == nullptr)
            continue;
        ++record->crashes;
        if (crashesOf(*record) >= maxCrashes || (isConclusive && record->crashes >= conclusiveCrashes))
            givenUp.push_back(run.task);
    }
    for (const auto& run : crash.unconfirmedRuns) {
        auto* const record = recordRun(history, run, crash.timeMs);
        if (record == nullptr)
            continue;
        ++record->unconfirmedCrashes;
        if (crashesOf(*record) >= maxCrashes)
            givenUp.push_back(run.task);
    }
    removeExpiredAddresses(history, crash.timeMs);
    history.addresses[std::string(crash.address)] = crash.timeMs;
    return givenUp;
}

const crash_record* findCrashes(const crash_history& history, const task_ref& task)
{
    const auto found = history.tasks.find(task);
    return found == history.tasks.end() ? nullptr : &found->second;
}

bool hasCrashedLately(const crash_history& history, std::string_view address, std::int64_t nowMs)
{
    const auto found = history.addresses.find(std::string(address));
    return found != history.addresses.end() && nowMs <= found->second + addressRetentionMs;
}

void removeCrashes(crash_history& history, const std::string& job)
{
    std::erase_if(history.tasks, [&](const auto& entry) { return entry.first.job == job; });
}

void removeCrashes(crash_history& history, const std::string& job, std::uint32_t occurrence)
{
    std::erase_if(history.tasks,
        [&](const auto& entry) { return entry.first.job == job && entry.first.occurrence == occurrence; });
}

} // namespace chervilport::batch
