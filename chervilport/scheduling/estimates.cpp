#include "chervilport/scheduling/estimates.h"

#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace chervilport {

namespace {

    /// Upper bounds of the ratio classes in thousandths, two classes to each factor of 2 from 1/64 to 64.
    constexpr std::array<std::int64_t, ratioClassCount> ratioBounds { 16, 22, 31, 44, 63, 88, 125, 177, 250, 354, 500,
        707, 1000, 1414, 2000, 2828, 4000, 5657, 8000, 11314, 16000, 22627, 32000, 45255, 64000 };

    /// Prior counts of the classes: the median is the declared time, and a few jobs take a quarter or four times as
    /// much. The prior weighs as much as six observations, so its influence decreases with every real one.
    constexpr std::array<std::int32_t, ratioClassCount> priorCounts { 0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 2, 4, 8, 4, 2, 1, 1,
        0, 0, 0, 0, 0, 0, 0, 0 };

    /// Weight of one observation against the prior counts.
    constexpr std::int32_t observationWeight = 4;

    /// Observations after which all counts are halved.
    constexpr std::int32_t maxObservations = 128;

    /// Kinds whose observations are kept; beyond this number the least recently updated one is evicted.
    constexpr std::size_t maxKinds = 2048;

    /// Assumed where the declared run time is zero.
    constexpr log_duration undeclaredRunTime = std::chrono::minutes(10);

    log_duration declared(const job_spec& spec)
    {
        return spec.declaredRunTime.count() > 0 ? spec.declaredRunTime : undeclaredRunTime;
    }

    std::array<std::int32_t, ratioClassCount> countsFor(const schedule_state& state, const job_spec& spec)
    {
        auto counts = priorCounts;
        const auto record = state.kinds.find({ spec.workspace, spec.kind });
        if (record != state.kinds.end())
            for (std::size_t i = 0; i < counts.size(); ++i)
                counts[i] += record->second.counts[i] * observationWeight;
        return counts;
    }

    log_duration scaled(const job_spec& spec, std::int64_t perMille)
    {
        // Multiplying by thousandths cannot overflow: declared run times are bounded when a job is accepted.
        return log_duration(std::max<std::int64_t>(1, declared(spec).count() / 1000 * perMille));
    }

} // namespace

kind_record& touchKind(schedule_state& state, const workspace_key& kind)
{
    const auto isNew = !state.kinds.contains(kind);
    if (isNew && state.kinds.size() >= maxKinds) {
        const auto oldest = std::min_element(state.kinds.begin(), state.kinds.end(),
            [](const auto& a, const auto& b) { return a.second.updatedAt < b.second.updatedAt; });
        state.kinds.erase(oldest);
    }
    auto& record = state.kinds[kind];
    record.updatedAt = state.now;
    return record;
}

void observeRunTime(schedule_state& state, const job_spec& spec, log_duration runTime)
{
    const auto ratio = runTime.count() * 1000 / declared(spec).count();
    const auto bound = std::lower_bound(ratioBounds.begin(), ratioBounds.end() - 1, ratio);
    auto& record = touchKind(state, { spec.workspace, spec.kind });
    ++record.counts[static_cast<std::size_t>(bound - ratioBounds.begin())];
    std::int32_t sum = 0;
    for (const auto count : record.counts)
        sum += count;
    if (sum >= maxObservations)
        for (auto& count : record.counts)
            count /= 2;
}

log_duration runTimeQuantile(const schedule_state& state, const job_spec& spec, std::int32_t perMille)
{
    return remainingQuantile(state, spec, log_duration(0), perMille);
}

log_duration remainingQuantile(
    const schedule_state& state, const job_spec& spec, log_duration elapsed, std::int32_t perMille)
{
    // Skip the classes that the elapsed time already exceeds.
    const auto counts = countsFor(state, spec);
    const auto elapsedRatio = elapsed.count() * 1000 / declared(spec).count();
    std::size_t firstClass = 0;
    while (firstClass < ratioClassCount && ratioBounds[firstClass] <= elapsedRatio && elapsedRatio > 0)
        ++firstClass;
    std::int64_t sum = 0;
    for (auto i = firstClass; i < ratioClassCount; ++i)
        sum += counts[i];
    // Beyond every observation the remaining time is estimated as half of the elapsed time.
    if (sum == 0)
        return std::max(log_duration(std::chrono::seconds(1)), elapsed / 2);
    std::int64_t reached = 0;
    for (auto i = firstClass; i < ratioClassCount; ++i) {
        reached += counts[i];
        if (reached * 1000 >= sum * perMille && counts[i] > 0)
            return std::max(log_duration(std::chrono::seconds(1)), scaled(spec, ratioBounds[i]) - elapsed);
    }
    return std::max(log_duration(std::chrono::seconds(1)), scaled(spec, ratioBounds.back()) - elapsed);
}

log_duration progressOf(const schedule_state& state, const job_record& job)
{
    return job.startedAt ? job.savedRunTime + (state.now - *job.startedAt) : job.savedRunTime;
}

log_duration remainingRunTime(const schedule_state& state, const job_record& job)
{
    constexpr std::int32_t median = 500;
    return remainingQuantile(state, job.spec, progressOf(state, job), median);
}

} // namespace chervilport
