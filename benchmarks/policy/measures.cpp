#include "benchmarks/policy/measures.h"

#include "benchmarks/policy/lower_bound.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace chervilport::policy_benchmark {

namespace {

    double secondsOf(log_duration time) { return static_cast<double>(time.count()) / 1e6; }

    double meanOf(const std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    }

    // Returns a percentile by the nearest-rank method; 0 without values.
    double percentile(std::vector<double> values, std::size_t percent)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto rank = (values.size() * percent + 99) / 100;
        return values[std::max<std::size_t>(rank, 1) - 1];
    }

    double ratio(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
    }

    // Completion times of a group of jobs.
    struct job_samples {
        std::vector<double> completion;
        std::vector<double> slowdown;
        job_measures measures;

        void add(const stream_job& job, const job_record& record, double completionS)
        {
            completion.push_back(completionS);
            slowdown.push_back(completionS / std::max(secondsOf(job.trueRunTime), 1.0));
            ++measures.jobs;
            measures.notCompleted += record.completedAt ? 0 : 1;
            if (job.spec.deadline) {
                ++measures.deadlines;
                measures.deadlineHits += record.completedAt && *record.completedAt <= *job.spec.deadline ? 1 : 0;
            }
        }

        job_measures finish()
        {
            measures.meanS = meanOf(completion);
            measures.p50S = percentile(completion, 50);
            measures.p95S = percentile(completion, 95);
            measures.p99S = percentile(completion, 99);
            measures.meanSlowdown = meanOf(slowdown);
            measures.p95Slowdown = percentile(slowdown, 95);
            return measures;
        }
    };

    // Longest completion time of each job over all schedulers, in seconds; 0 where none completed it.
    std::vector<double> longestCompletions(const event_stream& stream, const std::vector<const run_record*>& records)
    {
        std::vector<double> longest(stream.jobs.size(), 0);
        for (const auto* record : records) {
            for (std::size_t i = 0; i < stream.jobs.size(); ++i) {
                if (record->jobs[i].completedAt)
                    longest[i]
                        = std::max(longest[i], secondsOf(*record->jobs[i].completedAt - stream.jobs[i].submittedAt));
            }
        }
        return longest;
    }

    double countedCompletion(const stream_job& job, const job_record& record, log_time runEnd, double longest)
    {
        if (record.completedAt)
            return secondsOf(*record.completedAt - job.submittedAt);
        const auto untilClosed = record.closedAt.value_or(runEnd) - job.submittedAt;
        return std::max(longest, secondsOf(untilClosed + job.trueRunTime));
    }

    bool isCompletedByAll(const std::vector<const run_record*>& records, std::size_t job)
    {
        return std::all_of(records.begin(), records.end(),
            [job](const run_record* record) { return record->jobs[job].completedAt.has_value(); });
    }

    // Returns the time to the first start in seconds; a job that never started counts until it was closed.
    double firstStartS(const stream_job& job, const job_record& record, log_time runEnd)
    {
        return secondsOf(record.firstStartAt.value_or(record.closedAt.value_or(runEnd)) - job.submittedAt);
    }

    void measureStarts(run_measures& measures, const event_stream& stream, const run_record& record)
    {
        std::vector<double> guaranteed;
        std::vector<double> urgent;
        std::vector<double> guaranteedUrgent;
        std::vector<double> largeGangs;
        for (std::size_t i = 0; i < stream.jobs.size(); ++i) {
            const auto& job = stream.jobs[i];
            if (!isMeasured(job))
                continue;
            const auto start = firstStartS(job, record.jobs[i], record.endedAt);
            const bool isUrgent = job.category == job_category::Urgent;
            if (record.jobs[i].isWithinGuarantee)
                guaranteed.push_back(start);
            if (isUrgent)
                urgent.push_back(start);
            if (isUrgent && record.jobs[i].isWithinGuarantee)
                guaranteedUrgent.push_back(start);
            if (job.category == job_category::LargeGang)
                largeGangs.push_back(start);
        }
        measures.guaranteedStartP95S = percentile(guaranteed, 95);
        measures.urgentStartP99S = percentile(urgent, 99);
        measures.guaranteedUrgentStartP99S = percentile(guaranteedUrgent, 99);
        measures.p95LargeGangFirstStartS = percentile(largeGangs, 95);
    }

    void measureFragmentation(run_measures& measures, const fragmentation_sums& sums)
    {
        measures.fragmentation = ratio(sums.avoidable, sums.freeWhereOneFits);
        measures.unusableFreeShare = ratio(sums.unusable, sums.free);
        measures.largestGangFragmentation = 1 - ratio(sums.largestGang, sums.freeUpToLargestGang);
    }

    run_measures measureRun(const event_stream& stream, const std::vector<const run_record*>& records,
        const run_record& record, const std::vector<double>& longest)
    {
        run_measures measures;
        job_samples all;
        std::array<job_samples, categoryCount> byCategory;
        std::vector<double> largeGangWaits;
        std::vector<double> completedGangWaits;
        std::vector<double> common;
        std::vector<double> toEnd;

        // Collect the samples of the measured jobs.
        for (std::size_t i = 0; i < stream.jobs.size(); ++i) {
            const auto& job = stream.jobs[i];
            const auto& outcome = record.jobs[i];
            if (!isMeasured(job))
                continue;
            const auto completion = countedCompletion(job, outcome, record.endedAt, longest[i]);
            all.add(job, outcome, completion);
            byCategory.at(static_cast<std::size_t>(job.category)).add(job, outcome, completion);
            if (job.category == job_category::LargeGang)
                largeGangWaits.push_back(completion - secondsOf(job.trueRunTime));
            if (job.category == job_category::LargeGang && outcome.completedAt)
                completedGangWaits.push_back(completion - secondsOf(job.trueRunTime));
            if (isCompletedByAll(records, i))
                common.push_back(completion);
            toEnd.push_back(outcome.completedAt ? completion : secondsOf(record.endedAt - job.submittedAt));
            const bool isRejected
                = outcome.isRefused || outcome.state == job_state::Failed || outcome.state == job_state::Infeasible;
            measures.wronglyRejected += isRejected ? 1 : 0;
            measures.expired += outcome.state == job_state::Expired ? 1 : 0;
            measures.open += outcome.closedAt ? 0 : 1;
        }

        // Compute the statistics.
        measures.all = all.finish();
        for (std::size_t i = 0; i < categoryCount; ++i)
            measures.byCategory.at(i) = byCategory.at(i).finish();
        measures.meanCommonS = meanOf(common);
        measures.meanToEndS = meanOf(toEnd);
        measures.meanLargeGangWaitS = meanOf(largeGangWaits);
        measures.p95LargeGangWaitS = percentile(largeGangWaits, 95);
        measures.p95CompletedGangWaitS = percentile(completedGangWaits, 95);
        measureStarts(measures, stream, record);
        measureFragmentation(measures, record.fragmentation);
        measures.lowerBoundS = meanCompletionBoundSeconds(stream);
        measures.lowerBoundRatio = measures.all.meanS / measures.lowerBoundS;
        return measures;
    }

} // namespace

std::vector<run_measures> measureRuns(const event_stream& stream, const std::vector<const run_record*>& records)
{
    const auto longest = longestCompletions(stream, records);
    std::vector<run_measures> measures;
    measures.reserve(records.size());
    for (const auto* record : records)
        measures.push_back(measureRun(stream, records, *record, longest));
    return measures;
}

} // namespace chervilport::policy_benchmark
