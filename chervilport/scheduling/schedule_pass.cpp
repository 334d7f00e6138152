#include "chervilport/scheduling/schedule_pass.h"

#include "chervilport/scheduling/attempts.h"
#include "chervilport/scheduling/capacity_view.h"
#include "chervilport/scheduling/estimates.h"
#include "chervilport/scheduling/ordering.h"
#include "chervilport/scheduling/quarantine.h"
#include "chervilport/scheduling/reclaim.h"
#include "chervilport/scheduling/reservations.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

namespace chervilport {

namespace {

    /// Places are reserved for at most this many jobs at once; each reservation may leave capacity idle.
    constexpr std::size_t reservationBound = 8;

    /// Blocked jobs for which places and victims are searched in one pass; bounds the time of a decision.
    constexpr std::int32_t searchBound = 8;

    /// Smallest gang, in accelerators, that gets a reservation; smaller ones find a place often enough.
    constexpr std::int32_t smallestReserved = 8;

    /// A demand that found no room; whatever is larger in every respect finds none either.
    struct failed_demand {
        job_spec spec;
        log_duration remaining;
    };

    struct pass {
        schedule_state& state;
        std::vector<command>& out;
        std::vector<failed_demand> failed;
        std::int32_t searches = 0;
        // Computed for the first search; what starts later in the same pass ends too late to matter.
        std::optional<std::vector<expected_release>> releases;
    };

    bool isHopeless(const pass& run, const job_record& job, log_duration remaining)
    {
        return std::any_of(run.failed.begin(), run.failed.end(), [&](const failed_demand& other) {
            const auto& spec = other.spec;
            return spec.preemptible == job.spec.preemptible && spec.taskCount <= job.spec.taskCount
                && spec.placement <= job.spec.placement && fits(spec.perTask, job.spec.perTask)
                && other.remaining <= remaining && (spec.preemptible || spec.workspace == job.spec.workspace);
        });
    }

    /// Finds places in free capacity. The witness may move for a non-preemptible job, but not shrink.
    std::optional<std::vector<std::int32_t>> findFreePlaces(schedule_state& state, const job_record& job)
    {
        auto freeCapacity = freeFor(state, job);
        if (job.spec.preemptible)
            return placeGang(state.racks, slotsFor(job, freeCapacity), job.spec.taskCount, job.spec.placement);
        const auto allowance = nonPreemptibleAllowance(state, workspaceIndex(state, job.spec.workspace));
        auto safe = freeCapacity;
        for (std::size_t i = 0; i < safe.size(); ++i)
            safe[i] = minOf(safe[i], allowance[i]);
        if (auto places = placeGang(state.racks, slotsFor(job, safe), job.spec.taskCount, job.spec.placement))
            return places;
        auto places = placeGang(state.racks, slotsFor(job, freeCapacity), job.spec.taskCount, job.spec.placement);
        if (places && admitNonPreemptible(state, job.spec, *places))
            return places;
        return std::nullopt;
    }

    bool tryStart(pass& run, job_record& job)
    {
        const auto remaining = backfillRunTime(run.state, job);
        if (isHopeless(run, job, remaining))
            return false;
        const auto places = findFreePlaces(run.state, job);
        if (!places) {
            if (job.failedOn.empty())
                run.failed.push_back({ job.spec, remaining });
            return false;
        }
        startAttempt(run.state, job, *places, run.out);
        return true;
    }

    /// Whether a non-preemptible job may take reserved places now; others always may.
    bool mayTake(schedule_state& state, const job_record& job, const std::vector<std::int32_t>& workers)
    {
        if (job.spec.preemptible)
            return true;
        const auto allowance = nonPreemptibleAllowance(state, workspaceIndex(state, job.spec.workspace));
        const auto demands = demandByWorker(job, workers);
        const auto safe = std::all_of(demands.begin(), demands.end(),
            [&](const auto& entry) { return fits(entry.second, allowance[entry.first]); });
        return safe || admitNonPreemptible(state, job.spec, workers);
    }

    /// Looks after a job with a reservation. Returns whether the reservation stands or was used.
    bool tryReserved(pass& run, job_record& job)
    {
        const auto found = run.state.reservations.find(job.id);
        if (found == run.state.reservations.end())
            return false;
        const auto workers = found->second.workers;
        if (arePlacesFree(run.state, job, workers)) {
            if (mayTake(run.state, job, workers)) {
                startAttempt(run.state, job, workers, run.out);
                return true;
            }
            run.state.reservations.erase(found);
            return false;
        }
        if (found->second.reclaiming) {
            // Someone else may hold the places although their holders were stopped; then they are searched anew.
            const auto overdue = found->second.expectedAt + run.state.configuration.policy.stopTimeout;
            if (run.state.now <= overdue)
                return true;
            run.state.reservations.erase(found);
            return false;
        }
        if (tryStart(run, job))
            return true;
        return reclaimBackfilled(run.state, job, run.out);
    }

    void reserve(pass& run, const job_record& job, reservation&& places)
    {
        if (gangAccelerators(job.spec) < smallestReserved)
            return;
        const auto known = run.state.reservations.find(job.id);
        if (known == run.state.reservations.end()) {
            if (run.state.reservations.size() < reservationBound)
                run.state.reservations.emplace(job.id, std::move(places));
            return;
        }
        // A reservation moves only when its time has passed, because what has drained there would be given up.
        if (known->second.expectedAt < run.state.now)
            known->second = std::move(places);
    }

    void offer(pass& run, job_record& job)
    {
        if (!withinQuotas(run.state, job))
            return;
        if (tryReserved(run, job))
            return;
        if (!run.state.reservations.contains(job.id) && tryStart(run, job))
            return;
        if (run.searches >= searchBound)
            return;
        ++run.searches;
        if (isCovered(run.state, job) && reclaimForGuarantee(run.state, job, run.out))
            return;
        if (!run.releases)
            run.releases = expectedReleases(run.state);
        auto places = earliestPlaces(run.state, job, *run.releases);
        if (!places)
            return;
        if (reclaimIfItPays(run.state, job, places->expectedAt - run.state.now, run.out))
            return;
        reserve(run, job, std::move(*places));
    }

    std::set<job_id> jobsWithOrphanTasks(const schedule_state& state)
    {
        std::set<job_id> jobs;
        for (const auto& worker : state.workers)
            for (const auto& orphan : worker.orphans)
                jobs.insert(orphan.task.job);
        return jobs;
    }

    /// Starts one small job on each worker in quarantine whose probe is due, the last in the order first.
    void probeWorkers(pass& run, const std::vector<job_id>& order)
    {
        for (std::size_t i = 0; i < run.state.workers.size(); ++i) {
            const auto index = static_cast<std::int32_t>(i);
            const auto& worker = run.state.workers[i];
            if (!worker.quarantined || worker.probeAt > run.state.now || worker.state != worker_state::Ready)
                continue;
            for (auto id = order.rbegin(); id != order.rend(); ++id) {
                auto* job = findActive(run.state, *id);
                if (!job || job->state != job_state::Queued || run.state.reservations.contains(*id)
                    || !mayProbe(run.state, *job, index) || avoids(run.state, *job, worker)
                    || !withinQuotas(run.state, *job) || !fits(job->spec.perTask, worker.capacity - worker.used))
                    continue;
                startAttempt(run.state, *job, std::span(&index, 1), run.out);
                noteProbe(run.state, *job, index);
                break;
            }
        }
    }

} // namespace

void schedulePass(schedule_state& state, std::vector<command>& out)
{
    repairWitness(state);
    dropInvalidReservations(state);
    auto order = queueOrder(state);
    const auto orphaned = jobsWithOrphanTasks(state);
    std::erase_if(order, [&](job_id id) { return orphaned.contains(id); });
    pass run { state, out, {}, 0, {} };
    for (const auto id : order)
        if (auto* job = findActive(state, id); job && job->state == job_state::Queued)
            offer(run, *job);
    probeWorkers(run, order);
}

} // namespace chervilport
