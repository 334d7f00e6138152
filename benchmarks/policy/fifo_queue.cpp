#include "benchmarks/policy/fifo_queue.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chervilport::policy_benchmark {

namespace {

    /// A job that exceeds its declared run time is expected to end this long after the current time.
    constexpr log_duration overrunExtension = std::chrono::minutes(5);

    // Reservation for the first waiting job.
    struct head_reservation {
        // Free capacity at the time of the reservation, including that of the jobs that are expected to have ended.
        fleet_map fleet;
        // Time at which the job is expected to start.
        log_time at;
        gang_demand demand;
        std::vector<std::size_t> excluded;
    };

    log_time expectedEnd(const fifo_job& job, log_time now)
    {
        return std::max(job.startedAt + job.spec.declaredRunTime, now + overrunExtension);
    }

    void release(fleet_map& fleet, const fifo_job& job)
    {
        for (std::size_t rank = 0; rank < job.tasks.size(); ++rank) {
            if (job.tasks[rank] == fifo_job::task_phase::Ended)
                continue;
            auto& worker = fleet.workers.at(job.workers[rank]);
            worker.free = add(worker.free, job.spec.perTask);
        }
    }

    std::optional<head_reservation> reserveForHead(const fifo_state& state, const fifo_job& head, log_time now)
    {
        std::vector<std::pair<log_time, std::size_t>> ends;
        for (const auto index : state.active)
            ends.emplace_back(expectedEnd(state.jobs[index], now), index);
        std::sort(ends.begin(), ends.end());
        head_reservation reservation { state.fleet, now, demandOf(head.spec), head.excluded };
        for (const auto& [end, index] : ends) {
            release(reservation.fleet, state.jobs[index]);
            reservation.at = end;
            if (placeFirstFit(reservation.fleet, reservation.demand, reservation.excluded))
                return reservation;
        }
        // The job cannot start before lost workers rejoin, so no other job can delay it.
        return std::nullopt;
    }

    void startJob(fifo_state& state, std::size_t index, std::vector<std::size_t> workers, log_time now,
        std::vector<command>& commands)
    {
        auto& job = state.jobs[index];
        allocate(state.fleet, workers, job.spec.perTask);
        ++job.attempt;
        job.state = job_state::Starting;
        job.startedAt = now;
        job.hasFailed = false;
        job.workers = std::move(workers);
        job.tasks.assign(job.workers.size(), fifo_job::task_phase::Starting);
        state.queue.erase(index);
        state.active.insert(index);
        for (std::size_t rank = 0; rank < job.workers.size(); ++rank) {
            commands.emplace_back(start_task { state.workerNames[job.workers[rank]],
                { static_cast<job_id>(index + 1), job.attempt, static_cast<std::int32_t>(rank) }, job.spec.perTask });
        }
        commands.emplace_back(job_changed { static_cast<job_id>(index + 1), job.attempt, job.state, {} });
    }

    // Returns whether a later job would delay the first one: the later one is expected to run beyond the time of the
    // reservation, and the first one does not fit beside it.
    bool delaysHead(
        const head_reservation& reservation, const fifo_job& job, std::span<const std::size_t> workers, log_time now)
    {
        if (now + job.spec.declaredRunTime <= reservation.at)
            return false;
        auto fleet = reservation.fleet;
        allocate(fleet, workers, job.spec.perTask);
        return !placeFirstFit(fleet, reservation.demand, reservation.excluded);
    }

    void backfillBehindHead(fifo_state& state, log_time now, std::vector<command>& commands)
    {
        const auto head = *state.queue.begin();
        auto reservation = reserveForHead(state, state.jobs[head], now);
        const std::vector<std::size_t> later(std::next(state.queue.begin()), state.queue.end());
        for (const auto index : later) {
            const auto& job = state.jobs[index];
            auto workers = placeFirstFit(state.fleet, demandOf(job.spec), job.excluded);
            if (!workers || (reservation && delaysHead(*reservation, job, *workers, now)))
                continue;
            if (reservation && now + job.spec.declaredRunTime > reservation->at)
                allocate(reservation->fleet, *workers, job.spec.perTask);
            startJob(state, index, std::move(*workers), now, commands);
        }
    }

} // namespace

gang_demand demandOf(const job_spec& spec) { return { spec.taskCount, spec.perTask, spec.placement }; }

void startWaitingJobs(fifo_state& state, log_time now, std::vector<command>& commands)
{
    // Start jobs from the head of the queue until one does not fit.
    while (!state.queue.empty()) {
        const auto head = *state.queue.begin();
        const auto& job = state.jobs[head];
        auto workers = placeFirstFit(state.fleet, demandOf(job.spec), job.excluded);
        if (!workers)
            break;
        startJob(state, head, std::move(*workers), now, commands);
    }

    // Start later jobs that do not delay the first waiting one.
    if (state.usesBackfill && state.queue.size() > 1)
        backfillBehindHead(state, now, commands);
}

} // namespace chervilport::policy_benchmark
