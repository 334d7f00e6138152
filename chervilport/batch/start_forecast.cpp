#include "chervilport/batch/start_forecast.h"

#include "chervilport/batch/delay_cost.h"
#include "chervilport/batch/guaranteed_jobs.h"
#include "chervilport/batch/latency_objective.h"
#include "chervilport/batch/pass_order.h"
#include "chervilport/batch/ready_step.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chervilport::batch {

namespace {

    /// Time since the first pass of a leader from which its inputs are sound, in milliseconds.
    constexpr std::int64_t minLeaderAgeMs = 10'000;
    /// Part of the workers that the leader must have reached.
    constexpr double minUsableRatio = 0.75;
    /// Part of the runs and tasks ahead whose queue must have observed run times.
    constexpr double minKnownRatio = 0.8;
    /// Part of the forecast wait that is relied on. Run times differ by about a third from the expected ones, and waits
    /// behind many runs by less.
    constexpr double reliableWaitRatio = 0.75;
    /// Least time that an active run still takes, as a ratio of the expected run time.
    constexpr double minRemainingRatio = 0.1;
    constexpr std::int64_t minRetrySpreadSeconds = 4;
    constexpr std::int64_t maxRetrySeconds = 60;
    constexpr std::int64_t msPerSecond = 1'000;

    /// Workers where the job may run.
    struct eligible_pool {
        std::vector<const worker_record*> usable;
        resource_demand capacity;
    };

    const std::string& serviceOf(const batch_state& state, const job_record& job)
    {
        const auto* const queue = findQueue(state.config, job.queue);
        return queue != nullptr ? queue->service : job.service;
    }

    bool hasLabel(const worker_record& worker, const std::string& label)
    {
        const auto& labels = worker.report.labels;
        return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
    }

    eligible_pool findPool(const batch_state& state, const std::map<worker_number, worker_condition>& conditions,
        const job_record& job, forecast_inputs& inputs)
    {
        eligible_pool pool;
        const auto& service = serviceOf(state, job);
        for (const auto& [number, worker] : state.workers) {
            if (worker.report.service != service || !acceptsRuns(state, worker)
                || !hasLabel(worker, job.request.steps.front().requiredLabel))
                continue;
            ++inputs.workers;
            const auto condition = conditions.find(number);
            if (condition == conditions.end() || !condition->second.isUsable)
                continue;
            ++inputs.usableWorkers;
            pool.usable.push_back(&worker);
            addScaled(pool.capacity, worker.report.capacity, 1);
        }
        return pool;
    }

    /// Returns how many tasks of this demand fit into the free capacity.
    std::int64_t countFitting(const resource_demand& demand, const resource_demand& free)
    {
        auto count = std::numeric_limits<std::int64_t>::max();
        const auto limit = [&](std::int64_t needed, std::int64_t available) {
            if (needed > 0)
                count = std::min(count, std::max<std::int64_t>(0, available / needed));
        };
        limit(demand.milliCores, free.milliCores);
        limit(demand.memoryMb, free.memoryMb);
        limit(demand.accelerators, free.accelerators);
        return count;
    }

    /// Returns whether a gang fits as a whole, or one task of another step.
    bool hasRoom(const eligible_pool& pool, const step_spec& spec)
    {
        auto missing = spec.gang ? static_cast<std::int64_t>(spec.count) : 1;
        for (const auto* const worker : pool.usable) {
            missing -= std::min(missing, countFitting(chargedDemand(spec), freeCapacityOf(*worker)));
            if (missing == 0)
                return true;
        }
        return false;
    }

    bool isWithinGuarantee(
        const batch_state& state, const run_estimates& estimates, const job_record& job, std::int64_t nowMs)
    {
        const auto quota = std::find_if(state.config.workspaces.begin(), state.config.workspaces.end(),
            [&](const workspace_quota& each) { return each.name == job.workspace; });
        if (job.priority != guaranteedPriority || quota == state.config.workspaces.end()
            || quota->guaranteedAccelerators <= 0)
            return false;
        auto sum = peakAccelerators(job.request);
        for (const auto& [id, other] : state.jobs) {
            if (other.phase == job_phase::Active && other.priority == guaranteedPriority
                && other.workspace == job.workspace && !isExpired(state, estimates, other, nowMs))
                sum += peakAccelerators(other.request);
        }
        return sum <= quota->guaranteedAccelerators;
    }

    /// Returns the part of the pool that the demand takes of its scarcest resource.
    double partOf(const resource_demand& demand, const resource_demand& capacity)
    {
        const auto part = [](std::int64_t needed, std::int64_t available) {
            return needed <= 0
                ? 0.0
                : static_cast<double>(needed) / static_cast<double>(std::max<std::int64_t>(1, available));
        };
        return std::max({ part(demand.milliCores, capacity.milliCores), part(demand.memoryMb, capacity.memoryMb),
            part(demand.accelerators, capacity.accelerators) });
    }

    /// The pool as one amount of room that ends of runs release.
    class room_simulation {
    public:
        explicit room_simulation(std::int64_t nowMs)
            : m_timeMs(static_cast<double>(nowMs))
        {
        }

        /// Adds an active run.
        void addRun(double part, double endMs)
        {
            m_free -= part;
            m_ends.push({ endMs, part });
        }

        /// Returns the time at which this part of the pool is free, after all tasks that were placed before.
        double waitFor(double part)
        {
            // A part that is larger than the pool by rounding must not wait for ever.
            while (m_free + roundingError < part && !m_ends.empty()) {
                m_timeMs = std::max(m_timeMs, m_ends.top().first);
                m_free += m_ends.top().second;
                m_ends.pop();
            }
            return m_timeMs;
        }

        /// Places the tasks of a step, one after the other, or together for a gang. Returns the time when all of them
        /// have started.
        double place(const step_spec& spec, std::size_t tasks, double part, double runMs)
        {
            if (spec.gang)
                waitFor(part * static_cast<double>(tasks));
            for (std::size_t i = 0; i < tasks; ++i) {
                waitFor(part);
                addRun(part, m_timeMs + runMs);
            }
            return m_timeMs;
        }

        double timeMs() const { return m_timeMs; }

    private:
        static constexpr double roundingError = 1e-9;
        using run_end = std::pair<double, double>;
        std::priority_queue<run_end, std::vector<run_end>, std::greater<>> m_ends;
        double m_free = 1;
        double m_timeMs;
    };

    /// Inputs and progress of a forecast.
    struct forecast_run {
        const batch_state& state;
        const scheduler_state& schedulerState;
        const job_record& job;
        std::int64_t nowMs;
        eligible_pool pool;
        start_forecast result;
    };

    void countRun(forecast_run& run, const std::string& queue)
    {
        run.result.inputs.unknownRuns += isLearnt(run.schedulerState.estimates, queue) ? 0 : 1;
    }

    void addActiveRuns(forecast_run& run, room_simulation& room)
    {
        const auto isInPool = [&](worker_number number) {
            const auto found = std::lower_bound(run.pool.usable.begin(), run.pool.usable.end(), number,
                [](const worker_record* worker, worker_number wanted) { return worker->number < wanted; });
            return found != run.pool.usable.end() && (*found)->number == number;
        };
        for (const auto& [id, job] : run.state.jobs) {
            if (job.activeRuns == 0)
                continue;
            for (const auto& [number, occurrence] : job.occurrences) {
                for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                    const auto& spec = job.request.steps[i];
                    const auto runMs = expectedRunMs(run.schedulerState.estimates, job, spec);
                    const auto part = partOf(chargedDemand(spec), run.pool.capacity);
                    for (const auto& task : occurrence.steps[i].tasks) {
                        if (task.worker == noWorker || !isInPool(task.worker))
                            continue;
                        ++run.result.inputs.activeRuns;
                        countRun(run, job.queue);
                        const auto endMs = std::max(static_cast<double>(task.startedMs) + runMs,
                            static_cast<double>(run.nowMs) + minRemainingRatio * runMs);
                        // A service keeps its room.
                        room.addRun(part, spec.longRunning ? std::numeric_limits<double>::infinity() : endMs);
                    }
                }
            }
        }
    }

    /// Returns the highest urgency that a job reaches from this age on: it grows until its objective nears.
    double peakUrgency(const delay_cost& cost, double ageMs, double meanWaitMs)
    {
        return urgencyOf(cost, std::max(ageMs, cost.objectiveMs - cost.remainingMs), meanWaitMs);
    }

    /// A waiting step and the urgency that decides whether it goes ahead of the job.
    struct step_ahead {
        ready_step step;
        delay_cost cost;
        double urgency = 0;
    };

    /// Returns the waiting steps that go ahead of the job, in their order.
    std::vector<step_ahead> listAhead(forecast_run& run)
    {
        const auto& estimates = run.schedulerState.estimates;
        const auto& spec = run.job.request.steps.front();
        auto ready = listReadySteps(run.state, run.nowMs);
        const auto waitMs = meanWaitMs(estimates, ready);
        std::set<std::string, std::less<>> workspaces { run.job.workspace };
        for (const auto& each : ready)
            workspaces.insert(each.job->workspace);
        const auto& use = run.schedulerState.use;
        const auto factors = shareFactors(use, run.state.config, workspaces);
        run.result.isBeyondShare = isBeyondShare(use, run.state.config, workspaces, run.job.workspace);
        const auto own
            = peakUrgency(delayCostOf(run.state, estimates, run.job), 0, waitMs) * factors.at(run.job.workspace);
        std::vector<step_ahead> ahead;
        for (auto& each : ready) {
            const auto& other = specOf(each);
            const bool usesPool = serviceOf(run.state, *each.job) == serviceOf(run.state, run.job)
                && (spec.requiredLabel.empty() || other.requiredLabel == spec.requiredLabel);
            const auto cost = delayCostOf(run.state, estimates, each);
            if (!usesPool || other.longRunning || !hasObjective(cost))
                continue;
            const auto ageMs = static_cast<double>(run.nowMs - each.jobDueMs);
            const auto urgency = peakUrgency(cost, ageMs, waitMs) * factors.at(each.job->workspace);
            if (urgency >= own)
                ahead.push_back({ std::move(each), cost, urgency });
        }
        std::stable_sort(ahead.begin(), ahead.end(), [](const step_ahead& left, const step_ahead& right) {
            return std::tie(right.urgency, left.step.jobDueMs) < std::tie(left.urgency, right.step.jobDueMs);
        });
        return ahead;
    }

    /// Places the steps ahead and then the job.
    void simulate(forecast_run& run)
    {
        const auto& estimates = run.schedulerState.estimates;
        room_simulation room(run.nowMs);
        addActiveRuns(run, room);
        for (const auto& each : listAhead(run)) {
            const auto& spec = specOf(each.step);
            // One that can be of no use any more when its turn comes falls behind the job.
            if (isWorthless(each.cost, room.timeMs() - static_cast<double>(each.step.jobDueMs)))
                continue;
            run.result.inputs.tasksAhead += each.step.tasks.size();
            countRun(run, each.step.job->queue);
            room.place(spec, each.step.tasks.size(), partOf(chargedDemand(spec), run.pool.capacity),
                expectedRunMs(estimates, *each.step.job, spec));
        }
        const auto& spec = run.job.request.steps.front();
        const auto startMs = room.place(
            spec, spec.count, partOf(chargedDemand(spec), run.pool.capacity), expectedRunMs(estimates, run.job, spec));
        if (!std::isfinite(startMs)) {
            // Services hold the room; when they end is unknown.
            run.result.inputs.unknownRuns = run.result.inputs.activeRuns + run.result.inputs.tasksAhead + 1;
            return;
        }
        run.result.startMs = static_cast<std::int64_t>(startMs);
        run.result.endMs = run.result.startMs + static_cast<std::int64_t>(expectedChainMs(estimates, run.job));
    }

    /// Returns whether the inputs that are known before the simulation are sound.
    bool isLeaderSettled(const forecast_inputs& inputs, const run_estimates& estimates, const job_record& job)
    {
        return inputs.leaderAgeMs >= minLeaderAgeMs && isLearnt(estimates, job.queue) && inputs.workers > 0
            && static_cast<double>(inputs.usableWorkers) >= minUsableRatio * static_cast<double>(inputs.workers);
    }

    bool areRunsKnown(const forecast_inputs& inputs)
    {
        const auto all = static_cast<double>(inputs.activeRuns + inputs.tasksAhead);
        return static_cast<double>(inputs.unknownRuns) <= (1 - minKnownRatio) * all;
    }

    bool isTimed(const job_record& job, const delay_cost& cost)
    {
        const auto& steps = job.request.steps;
        return job.request.repeatCount == 0 && hasObjective(cost)
            && std::none_of(steps.begin(), steps.end(), [](const step_spec& step) { return step.longRunning; });
    }

    std::uint64_t hashOf(std::string_view text)
    {
        constexpr std::uint64_t fnvOffset = 14'695'981'039'346'656'037U;
        constexpr std::uint64_t fnvPrime = 1'099'511'628'211U;
        auto hash = fnvOffset;
        for (const auto character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
        return hash;
    }

} // namespace

forecast_decision forecastJob(const batch_state& state, const std::map<worker_number, worker_condition>& conditions,
    const scheduler_state& schedulerState, const job_record& job, std::int64_t nowMs)
{
    const auto& estimates = schedulerState.estimates;
    const auto cost = delayCostOf(state, estimates, job);
    if (!isTimed(job, cost))
        return { forecast_verdict::NotTimed, {} };
    forecast_run run { state, schedulerState, job, nowMs, {}, {} };
    auto& inputs = run.result.inputs;
    run.pool = findPool(state, conditions, job, inputs);
    if (hasRoom(run.pool, job.request.steps.front()))
        return { forecast_verdict::HasRoom, {} };
    if (isWithinGuarantee(state, estimates, job, nowMs))
        return { forecast_verdict::Guaranteed, {} };
    inputs.leaderAgeMs = schedulerState.firstPassMs == 0 ? 0 : nowMs - schedulerState.firstPassMs;
    if (const auto found = estimates.byQueue.find(job.queue); found != estimates.byQueue.end())
        inputs.samples = found->second.samples;
    if (!isLeaderSettled(inputs, estimates, job))
        return { forecast_verdict::Unsound, run.result };
    simulate(run);
    if (!areRunsKnown(inputs))
        return { forecast_verdict::Unsound, run.result };
    const auto waitMs = static_cast<double>(run.result.startMs - nowMs);
    const auto reliedMs = run.result.isBeyondShare ? waitMs : reliableWaitRatio * waitMs;
    const bool isRefused = isWorthless(cost, reliedMs);
    return { isRefused ? forecast_verdict::Worthless : forecast_verdict::Useful, run.result };
}

std::chrono::seconds retryDelay(const batch_state& state, const run_estimates& estimates, const job_record& job,
    const start_forecast& forecast, std::int64_t nowMs)
{
    // Once the wait has fallen by this time, a job that is sent again can end within its objective.
    const auto cost = delayCostOf(state, estimates, job);
    const auto slackMs = static_cast<std::int64_t>(std::max(0.0, cost.objectiveMs - cost.remainingMs));
    const auto excessMs = std::max<std::int64_t>(msPerSecond, forecast.startMs - nowMs - slackMs);
    const auto least = std::min(maxRetrySeconds / 2, (excessMs + msPerSecond - 1) / msPerSecond);
    const auto spread = static_cast<std::uint64_t>(std::max(minRetrySpreadSeconds, least));
    return std::chrono::seconds(least + static_cast<std::int64_t>(hashOf(job.request.id) % (spread + 1)));
}

} // namespace chervilport::batch
