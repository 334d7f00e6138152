#include "chervilport/explain/job_timeline.h"

#include "chervilport/explain/job_facts.h"

#include <algorithm>
#include <array>
#include <set>

namespace chervilport::explain {

namespace {

    /// Events of a worker that explain the end of its runs.
    constexpr std::array<std::string_view, 5> workerEvents { "worker_unreachable", "worker_left", "worker_life_ended",
        "worker_quarantined", "worker_reached" };
    /// Changes of leadership.
    constexpr std::array<std::string_view, 2> leaderEvents { "leadership_taken", "leadership_lost" };

    bool isOneOf(std::span<const std::string_view> events, std::string_view event)
    {
        return std::find(events.begin(), events.end(), event) != events.end();
    }

    bool namesJob(const log_line& line, std::string_view job)
    {
        return std::any_of(line.fields.begin(), line.fields.end(),
            [&](const log_line::field& each) { return each.value.find(job) != std::string::npos; });
    }

    std::set<std::string_view> workersOf(std::span<const log_line* const> lines)
    {
        std::set<std::string_view> workers;
        for (const auto* const line : lines) {
            if (line->event == "run_assigned")
                workers.insert(valueOf(*line, "worker"));
        }
        return workers;
    }

    /// Selects the lines of the job, and the events of its workers and of the leader between its first and last line.
    /// Returns them sorted by time.
    std::vector<const log_line*> selectLines(std::span<const log_line> lines, std::string_view job)
    {
        // Select the lines of the job.
        std::vector<const log_line*> selected;
        for (const auto& line : lines) {
            if (namesJob(line, job))
                selected.push_back(&line);
        }
        const auto byTime = [](const log_line* left, const log_line* right) { return left->time < right->time; };
        std::stable_sort(selected.begin(), selected.end(), byTime);
        if (selected.empty())
            return selected;

        // Add the events of its workers and of the leader within the time of these lines.
        const auto& from = selected.front()->time;
        const auto& to = selected.back()->time;
        const auto workers = workersOf(selected);
        for (const auto& line : lines) {
            const bool isDuringJob = line.time >= from && line.time <= to && !namesJob(line, job);
            const bool isOfWorker = isOneOf(workerEvents, line.event) && workers.contains(valueOf(line, "worker"));
            if (isDuringJob && (isOfWorker || isOneOf(leaderEvents, line.event)))
                selected.push_back(&line);
        }
        std::stable_sort(selected.begin(), selected.end(), byTime);
        return selected;
    }

    std::string describeFields(const log_line& line)
    {
        std::string text;
        for (const auto& each : line.fields) {
            if (!text.empty())
                text += ' ';
            text += each.key + '=' + each.value;
        }
        return text;
    }

    /// Removes the fields from the entry's detail that the line lacks or has with another value.
    void keepCommonFields(timeline_entry& entry, const log_line& line)
    {
        std::string common;
        for (const auto& each : line.fields) {
            const auto word = each.key + '=' + each.value;
            if ((' ' + entry.detail + ' ').find(' ' + word + ' ') == std::string::npos)
                continue;
            if (!common.empty())
                common += ' ';
            common += word;
        }
        entry.detail = std::move(common);
    }

    /// Merges consecutive lines with the same event and instance into one entry.
    std::vector<timeline_entry> mergeEqualEvents(std::span<const log_line* const> lines, std::string_view job)
    {
        std::vector<timeline_entry> entries;
        for (const auto* const line : lines) {
            if (!entries.empty() && entries.back().event == line->event && entries.back().instance == line->instance) {
                keepCommonFields(entries.back(), *line);
                ++entries.back().lines;
                continue;
            }
            entries.push_back(
                { line->time, line->instance, line->event, describeFields(*line), 1, namesJob(*line, job) });
        }
        return entries;
    }

} // namespace

job_timeline buildTimeline(std::span<const log_line> lines, std::string_view job)
{
    const auto selected = selectLines(lines, job);
    job_timeline timeline;
    timeline.job = job;
    timeline.entries = mergeEqualEvents(selected, job);
    const auto facts = gatherFacts(selected, job);
    timeline.conclusion = buildConclusion(facts);
    timeline.missing = findMissingInformation(facts);
    return timeline;
}

} // namespace chervilport::explain
