#include "chervilport/batch/recorded_speeds.h"

#include "chervilport/batch/worker_admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilport::batch {

namespace {

    constexpr double percent = 100;
    /// Number of samples after which a speed is settled.
    constexpr std::uint32_t minSettledSamples = 4;
    /// Minimum ratio between the observed and the recorded speed for a new record. It is half a speed class: a smaller
    /// change rarely changes the class.
    const double minRecordedRatio = std::sqrt(speedClassRatio);
    /// Maximum weight of a recorded speed beside the samples of the new leader, in samples.
    constexpr std::uint32_t maxSeedSamples = 2;

    /// An observed speed and how much it differs from the record.
    struct speed_change {
        double logRatio = 0;
        worker_speed_observed observed;
    };

    bool isRecorded(const worker_record& worker) { return worker.speed.samples > 0; }

    /// Returns the logarithm of the ratio between the observed and the recorded speed, as a positive number.
    double logRatioOf(std::int64_t slownessPercent, const worker_record& worker)
    {
        const auto recorded = isRecorded(worker) ? static_cast<double>(worker.speed.slownessPercent) : percent;
        return std::abs(std::log(static_cast<double>(slownessPercent) / recorded));
    }

    bool mustBeRecorded(const speed_change& change, const worker_record& worker)
    {
        // Typical speeds are recorded too: without them the seeded workers would have another median.
        return !isRecorded(worker) || change.logRatio >= std::log(minRecordedRatio);
    }

} // namespace

void seedSpeeds(worker_speeds& speeds, const batch_state& state)
{
    for (const auto& [number, worker] : state.workers) {
        if (!isRecorded(worker))
            continue;
        const auto slowness = static_cast<double>(std::max<std::int64_t>(worker.speed.slownessPercent, 1)) / percent;
        speeds.workers[number] = { std::log(slowness), std::min(worker.speed.samples, maxSeedSamples), slowness };
    }
}

std::vector<worker_speed_observed> speedsToRecord(
    const worker_speeds& speeds, const batch_state& state, std::size_t limit)
{
    std::vector<speed_change> changes;
    for (const auto& [number, speed] : speeds.workers) {
        const auto* const worker = findWorker(state, number);
        if (worker == nullptr || speed.samples < minSettledSamples)
            continue;
        const auto slownessPercent = std::max<std::int64_t>(std::llround(slownessOf(speeds, number) * percent), 1);
        const speed_change change { logRatioOf(slownessPercent, *worker),
            { number, worker->report.incarnation, slownessPercent, speed.samples } };
        if (mustBeRecorded(change, *worker))
            changes.push_back(change);
    }
    std::stable_sort(changes.begin(), changes.end(),
        [](const speed_change& left, const speed_change& right) { return left.logRatio > right.logRatio; });
    changes.resize(std::min(changes.size(), limit));
    std::vector<worker_speed_observed> observed;
    observed.reserve(changes.size());
    for (const auto& change : changes)
        observed.push_back(change.observed);
    return observed;
}

void removeOutdatedSpeeds(worker_speeds& speeds, const batch_state& state, const command_batch& batch)
{
    for (const auto& command : batch.commands) {
        const auto* const reported = std::get_if<worker_reported>(&command);
        const auto* const worker = reported == nullptr ? nullptr : findWorker(state, reported->report.id);
        if (worker != nullptr && worker->report.incarnation != reported->report.incarnation
            && !isOutdated(state, reported->report))
            removeSpeed(speeds, worker->number);
    }
}

} // namespace chervilport::batch
