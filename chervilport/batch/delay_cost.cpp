#include "chervilport/batch/delay_cost.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace chervilport::batch {

namespace {

    constexpr double coresPerAccelerator = 8.0;
    constexpr double milliCoresPerCore = 1000.0;
    constexpr double msPerSecond = 1000.0;
    /// Ratio of the value of a job to that of an equal one of the next lower priority.
    constexpr double priorityValueRatio = 2.0;
    /// Priority from which on values no longer fall, so that they stay comparable.
    constexpr std::int64_t lowestWeighedPriority = 8;
    /// Exponent of the work of a job in its value; 1 would ignore that small jobs serve more callers for the same room.
    constexpr double workExponent = 0.9;
    /// Part of its value that a result has between the objective and the expiry.
    constexpr double lateValueRatio = 0.3;
    /// Standard deviation of run times as a ratio of the expected ones.
    constexpr double runTimeDeviation = 0.3;
    /// Factor between the argument of the logistic function and that of the normal distribution that it approximates.
    constexpr double logisticScale = 1.7;
    /// Part of the value that a job with slack counts with at least: the room that it is refused now is given to it
    /// later, at the cost of others.
    constexpr double minLossRatio = 0.1;
    /// Age after the expiry, as a ratio of the expiry, at which a job is as urgent as one that loses its late value
    /// now.
    constexpr double starvationRatio = 10.0;
    /// Centres of the quarters of an exponential distribution with the mean 1.
    constexpr std::array<double, 4> waitQuantiles { 0.134, 0.470, 0.981, 2.079 };

    /// Returns the probability that a job with this slack and expected remaining time ends in time.
    double probabilityInTime(double slackMs, double remainingMs)
    {
        const auto deviation = std::max(1.0, runTimeDeviation * remainingMs);
        return 1 / (1 + std::exp(-logisticScale * slackMs / deviation));
    }

    double priorityValue(std::int64_t priority)
    {
        return std::pow(
            priorityValueRatio, -static_cast<double>(std::clamp<std::int64_t>(priority, 0, lowestWeighedPriority)));
    }

    std::int64_t unfinishedTasks(const job_record& job, const occurrence_record* occurrence, std::size_t step)
    {
        const auto count = static_cast<std::int64_t>(job.request.steps[step].count);
        return occurrence == nullptr ? count : count - static_cast<std::int64_t>(occurrence->steps[step].doneCount);
    }

    double remainingWork(const run_estimates& estimates, const job_record& job, const occurrence_record* occurrence)
    {
        double sum = 0;
        for (std::size_t i = 0; i < job.request.steps.size(); ++i) {
            const auto& spec = job.request.steps[i];
            sum += static_cast<double>(unfinishedTasks(job, occurrence, i))
                * coreSeconds(spec, expectedRunMs(estimates, job, spec));
        }
        return std::max(sum, 1.0);
    }

    delay_cost makeCost(const batch_state& state, const run_estimates& estimates, const job_record& job,
        const occurrence_record* occurrence, double remainingMs)
    {
        delay_cost cost;
        const auto& queue = queueOf(state.config, job);
        const bool isTimed = queue.stretch > 0 || queue.baseObjectiveMs > 0;
        cost.objectiveMs = isTimed ? objectiveMs(state, estimates, job) : 0;
        cost.expiryMs = expiryFactor * cost.objectiveMs;
        cost.remainingMs = remainingMs;
        cost.remainingWork = remainingWork(estimates, job, occurrence);
        // Many depend on a large job, so value grows with the work, nearly in proportion: large gangs must not starve.
        cost.value = priorityValue(job.queue.priority) * std::pow(remainingWork(estimates, job, nullptr), workExponent);
        return cost;
    }

} // namespace

double coreSeconds(const step_spec& spec, double runMs)
{
    const auto cores = static_cast<double>(spec.demand.milliCores) / milliCoresPerCore
        + coresPerAccelerator * static_cast<double>(spec.demand.accelerators);
    return cores * runMs / msPerSecond;
}

delay_cost delayCostOf(const batch_state& state, const run_estimates& estimates, const ready_step& ready)
{
    const auto found = ready.job->occurrences.find(ready.occurrence);
    const auto* const occurrence = found == ready.job->occurrences.end() ? nullptr : &found->second;
    return makeCost(state, estimates, *ready.job, occurrence, expectedChainMs(estimates, *ready.job, ready.step));
}

bool hasObjective(const delay_cost& cost) { return cost.expiryMs > 0; }

objective_status statusAt(const delay_cost& cost, double startAgeMs)
{
    const auto finishMs = startAgeMs + cost.remainingMs;
    if (finishMs <= cost.objectiveMs)
        return objective_status::OnTime;
    return finishMs <= cost.expiryMs ? objective_status::Late : objective_status::Expired;
}

double expectedValue(const delay_cost& cost, double startAgeMs)
{
    const auto finishMs = startAgeMs + cost.remainingMs;
    const auto inTime = probabilityInTime(cost.objectiveMs - finishMs, cost.remainingMs);
    const auto useful = probabilityInTime(cost.expiryMs - finishMs, cost.remainingMs);
    return cost.value * ((1 - lateValueRatio) * inTime + lateValueRatio * useful);
}

double delayLoss(const delay_cost& cost, double startAgeMs, double delayMs)
{
    return expectedValue(cost, startAgeMs) - expectedValue(cost, startAgeMs + delayMs);
}

double urgencyOf(const delay_cost& cost, double ageMs, double meanWaitMs)
{
    double loss = 0;
    for (const auto quantile : waitQuantiles)
        loss += delayLoss(cost, ageMs, quantile * meanWaitMs) / waitQuantiles.size();
    if (ageMs + cost.remainingMs <= cost.expiryMs)
        return std::max(loss, minLossRatio * cost.value) / cost.remainingWork;
    // The share of the value that a starving job counts with grows up to the late value.
    const auto overdueMs = ageMs + cost.remainingMs - cost.expiryMs;
    const auto starvation = std::min(1.0, overdueMs / std::max(1.0, starvationRatio * cost.expiryMs));
    loss = std::max(loss, lateValueRatio * starvation * cost.value);
    return loss / cost.remainingWork;
}

} // namespace chervilport::batch
