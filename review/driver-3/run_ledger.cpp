#include "review/driver-3/run_ledger.h"

#include "review/driver-3/record.h"

#include <algorithm>

namespace chervilport::review {

namespace {

    using clock = std::chrono::steady_clock;

    std::string describe(const std::string& task, const run_entry& entry)
    {
        return task + " run " + std::to_string(entry.run) + " on " + entry.executor;
    }

    bool overlap(const run_entry& earlier, const run_entry& later)
    {
        return earlier.how.empty() || later.startedAt < earlier.endedAt;
    }

} // namespace

void run_ledger::start(const std::string& task, std::uint64_t run, const std::string& executor)
{
    const std::lock_guard lock(m_mutex);
    m_runs[task].push_back({ executor, run, clock::now(), {}, {}, false, false });
    if (m_isVerbose)
        m_log.add("start " + describe(task, m_runs[task].back()));
}

void run_ledger::end(const std::string& task, std::uint64_t run, const std::string& executor, const std::string& how)
{
    const std::lock_guard lock(m_mutex);
    auto* const entry = find(task, run, executor);
    if (entry == nullptr || !entry->how.empty())
        return;
    entry->how = how;
    entry->endedAt = clock::now();
    if (m_isVerbose)
        m_log.add("end " + how + ' ' + describe(task, *entry));
}

void run_ledger::note(const std::string& task, std::uint64_t run, const std::string& executor)
{
    const std::lock_guard lock(m_mutex);
    auto* const entry = find(task, run, executor);
    if (entry == nullptr)
        return;
    entry->isNoted = true;
    if (m_isVerbose)
        m_log.add("noted " + entry->how + ' ' + describe(task, *entry));
}

void run_ledger::lapse(const std::string& task, std::uint64_t run, const std::string& executor)
{
    const std::lock_guard lock(m_mutex);
    if (auto* const entry = find(task, run, executor))
        entry->hasLapsed = true;
}

std::vector<std::string> run_ledger::findDoubleRuns() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> breaks;
    for (const auto& [task, runs] : m_runs) {
        for (std::size_t later = 1; later < runs.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                const bool isDone = runs[earlier].how == "done" && runs[earlier].isNoted && !runs[earlier].hasLapsed;
                if (overlap(runs[earlier], runs[later]))
                    breaks.push_back(describe(task, runs[later]) + " began while run "
                        + std::to_string(runs[earlier].run) + " worked on " + runs[earlier].executor);
                else if (isDone)
                    breaks.push_back(describe(task, runs[later]) + " began after run "
                        + std::to_string(runs[earlier].run) + " had ended done on " + runs[earlier].executor
                        + ", which was taken note of");
            }
        }
    }
    return breaks;
}

std::size_t run_ledger::countStarts(const std::string& prefix) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [task, runs] : m_runs)
        count += task.starts_with(prefix) ? runs.size() : 0;
    return count;
}

std::size_t run_ledger::countTasks(const std::string& prefix, const std::string& how) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& each) {
        return each.first.starts_with(prefix)
            && std::any_of(
                each.second.begin(), each.second.end(), [&](const run_entry& entry) { return entry.how == how; });
    }));
}

std::size_t run_ledger::countNoted(const std::string& prefix) const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [task, runs] : m_runs) {
        if (task.starts_with(prefix))
            count += static_cast<std::size_t>(
                std::count_if(runs.begin(), runs.end(), [](const run_entry& entry) { return entry.isNoted; }));
    }
    return count;
}

std::size_t run_ledger::countRunning(const std::string& prefix) const { return countTasks(prefix, ""); }

run_entry* run_ledger::find(const std::string& task, std::uint64_t run, const std::string& executor)
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return nullptr;
    const auto entry = std::find_if(found->second.rbegin(), found->second.rend(),
        [&](const run_entry& each) { return each.run == run && each.executor == executor; });
    return entry == found->second.rend() ? nullptr : &*entry;
}

} // namespace chervilport::review
