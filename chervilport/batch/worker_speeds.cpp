#include "chervilport/batch/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace chervilport::batch {

namespace {

    /// Minimum weight of a new sample, so that a worker that turns slow is noticed within a few samples.
    constexpr double minSampleWeight = 0.3;
    /// Weight of the prior that a worker is typical, in samples.
    constexpr double priorSamples = 0.25;
    /// Weight of the usual pace of the queue beside the other workers of the step. It keeps the estimates of workers
    /// that always run the same gangs from drifting together.
    constexpr double queueWeight = 0.2;
    /// Weight of a sample that can be compared with the queue only; tasks of a queue differ by half in their work.
    constexpr double queueSampleWeight = 0.05;
    /// Samples after which the pace of a queue is known, and the minimum weight of a new one.
    constexpr std::uint32_t minQueueSamples = 8;
    constexpr double minQueueSampleWeight = 0.02;
    /// Limit on the logarithm of the factor that one sample can show; a stalled run would show any factor.
    constexpr double maxLogSlowness = 1.6;
    /// Minimum number of samples and change of the factor for a report to the log.
    constexpr std::uint32_t minReportedSamples = 3;
    constexpr double minReportedRatio = 1.4;
    /// Refreshes of the factor of a typical worker in the time in which each worker has one sample.
    constexpr std::size_t refreshesPerRound = 16;
    /// Number of workers that are kept for a step, which bounds the time of a sample.
    constexpr std::size_t maxPacesPerStep = 48;

    step_key stepOf(const pace_sample& sample) { return { sample.task.job, sample.task.occurrence, sample.task.step }; }

    double logSlownessOf(const worker_speeds& speeds, worker_number worker)
    {
        const auto found = speeds.workers.find(worker);
        return found == speeds.workers.end() ? 0 : found->second.logSlowness;
    }

    /// Returns the median, which must exist.
    double median(std::vector<double> values)
    {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    /// Estimate of the pace that a task has on a typical worker.
    struct reference_pace {
        double logPace = 0;
        /// Whether other workers of the step contribute to it.
        bool hasPeers = false;
    };

    /// Returns the median over the other workers of the step, each corrected by its speed, combined with the usual pace
    /// of the queue. Returns nothing when neither is known.
    std::optional<reference_pace> referenceFor(const worker_speeds& speeds, const pace_sample& sample)
    {
        std::vector<double> peers;
        const auto step = speeds.steps.find(stepOf(sample));
        if (step != speeds.steps.end()) {
            for (const auto& each : step->second) {
                if (each.worker != sample.worker)
                    peers.push_back(each.logPace + logSlownessOf(speeds, each.worker));
            }
        }
        const auto queue = speeds.queues.find(sample.queue);
        const bool isQueueKnown = queue != speeds.queues.end() && queue->second.samples >= minQueueSamples;
        if (peers.empty() && !isQueueKnown)
            return std::nullopt;
        if (peers.empty())
            return reference_pace { queue->second.logPace, false };
        const auto ofPeers = median(std::move(peers));
        if (!isQueueKnown)
            return reference_pace { ofPeers, true };
        return reference_pace { (ofPeers + queueWeight * queue->second.logPace) / (1 + queueWeight), true };
    }

    void storePace(worker_speeds& speeds, const pace_sample& sample, double logPace)
    {
        auto& paces = speeds.steps[stepOf(sample)];
        const auto known = std::find_if(
            paces.begin(), paces.end(), [&](const step_pace& each) { return each.worker == sample.worker; });
        if (known == paces.end()) {
            if (paces.size() < maxPacesPerStep)
                paces.push_back({ sample.worker, logPace });
        } else if (!sample.isLowerBound || logPace > known->logPace)
            known->logPace = logPace;
    }

    void updateQueue(queue_pace& queue, double correctedLogPace)
    {
        ++queue.samples;
        queue.logPace += (correctedLogPace - queue.logPace) * std::max(minQueueSampleWeight, 1.0 / queue.samples);
    }

    /// Refreshes the factor of a typical worker, unless few samples have come since the last time.
    void refreshTypical(worker_speeds& speeds)
    {
        ++speeds.samplesSinceRefresh;
        if (speeds.samplesSinceRefresh * refreshesPerRound < speeds.workers.size())
            return;
        speeds.samplesSinceRefresh = 0;
        std::vector<double> all;
        all.reserve(speeds.workers.size());
        for (const auto& [worker, speed] : speeds.workers)
            all.push_back(speed.logSlowness);
        speeds.typicalLogSlowness = median(std::move(all));
    }

    void addSample(worker_speed& speed, double logSlowness, bool hasPeers)
    {
        const auto limited = std::clamp(logSlowness, -maxLogSlowness, maxLogSlowness);
        if (!hasPeers) {
            speed.logSlowness += (limited - speed.logSlowness) * queueSampleWeight;
            return;
        }
        ++speed.samples;
        const auto weight = std::max(minSampleWeight, 1.0 / (speed.samples + priorSamples));
        speed.logSlowness += (limited - speed.logSlowness) * weight;
    }

} // namespace

void recordPace(worker_speeds& speeds, const pace_sample& sample)
{
    if (sample.workPerMs <= 0)
        return;
    const auto logPace = std::log(sample.workPerMs);
    storePace(speeds, sample, logPace);
    const auto reference = referenceFor(speeds, sample);
    const auto logSlowness = reference ? reference->logPace - logPace : 0;
    const bool tells = reference && (!sample.isLowerBound || logSlowness < logSlownessOf(speeds, sample.worker));
    if (tells) {
        addSample(speeds.workers[sample.worker], logSlowness, reference->hasPeers);
        refreshTypical(speeds);
    }
    if (!sample.isLowerBound)
        updateQueue(speeds.queues[sample.queue], logPace + logSlownessOf(speeds, sample.worker));
}

double slownessOf(const worker_speeds& speeds, worker_number worker)
{
    const auto found = speeds.workers.find(worker);
    return found == speeds.workers.end() ? 1 : std::exp(found->second.logSlowness - speeds.typicalLogSlowness);
}

std::optional<double> takeChangedSlowness(worker_speeds& speeds, worker_number worker)
{
    const auto found = speeds.workers.find(worker);
    if (found == speeds.workers.end() || found->second.samples < minReportedSamples)
        return std::nullopt;
    const auto slowness = slownessOf(speeds, worker);
    const auto change = std::abs(std::log(slowness / found->second.reportedSlowness));
    if (change < std::log(minReportedRatio))
        return std::nullopt;
    found->second.reportedSlowness = slowness;
    return slowness;
}

std::map<worker_number, std::int32_t> speedClasses(const worker_speeds& speeds)
{
    std::map<worker_number, std::int32_t> classes;
    for (const auto& [worker, speed] : speeds.workers)
        classes.emplace_hint(classes.end(), worker,
            static_cast<std::int32_t>(
                std::lround((speed.logSlowness - speeds.typicalLogSlowness) / std::log(speedClassRatio))));
    return classes;
}

speed_counts countBySpeed(const worker_speeds& speeds)
{
    speed_counts counts;
    for (const auto& [worker, speedClass] : speedClasses(speeds))
        ++(speedClass < 0 ? counts.fast : (speedClass > 0 ? counts.slow : counts.typical));
    return counts;
}

void removeSpeed(worker_speeds& speeds, worker_number worker)
{
    speeds.workers.erase(worker);
    for (auto& [step, paces] : speeds.steps)
        std::erase_if(paces, [&](const step_pace& each) { return each.worker == worker; });
}

void removePaces(worker_speeds& speeds, const std::string& job)
{
    const auto first = speeds.steps.lower_bound({ job, 0, 0 });
    auto last = first;
    while (last != speeds.steps.end() && last->first.job == job)
        ++last;
    speeds.steps.erase(first, last);
}

} // namespace chervilport::batch
