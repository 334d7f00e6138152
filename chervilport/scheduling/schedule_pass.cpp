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
    constexpr std::size_t maxReservations = 8;

    /// Blocked jobs for which places and victims are searched in one pass; bounds the time of a decision.
    constexpr std::int32_t maxSearches = 8;

    /// Smallest gang, in accelerators, that gets a reservation; smaller ones find a place often enough.
    constexpr std::int32_t minReservedAccelerators = 8;

    /// A demand that did not fit in this pass; a demand that is at least as large in every respect does not fit either.
    struct failed_demand {
        job_spec spec;
        log_duration remaining;
    };

    struct pass_state {
        schedule_state& state;
        std::vector<command>& out;
        std::vector<failed_demand> failed;
        std::int32_t searches = 0;
        // Computed for the first search; jobs that start later in the same pass end too late to matter.
        std::optional<std::vector<expected_release>> releases;
    };

    bool exceedsFailedDemand(const pass_state& pass, const job_record& job, log_duration remaining)
    {
        return std::any_of(pass.failed.begin(), pass.failed.end(), [&](const failed_demand& other) {
            const auto& spec = other.spec;
            return spec.preemptible == job.spec.preemptible && spec.taskCount <= job.spec.taskCount
                && spec.placement <= job.spec.placement && fits(spec.perTask, job.spec.perTask)
                && other.remaining <= remaining && (spec.preemptible || spec.workspace == job.spec.workspace);
        });
    }

    /// Finds places in free capacity. Places of the witness may move for a non-preemptible job, but all of them must
    /// remain.
    std::optional<std::vector<std::int32_t>> findFreePlaces(schedule_state& state, const job_record& job)
    {
        auto freeCapacity = freeCapacityFor(state, job);
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

    bool tryStart(pass_state& pass, job_record& job)
    {
        const auto remaining = backfillRunTime(pass.state, job);
        if (exceedsFailedDemand(pass, job, remaining))
            return false;
        const auto places = findFreePlaces(pass.state, job);
        if (!places) {
            if (job.failedOn.empty())
                pass.failed.push_back({ job.spec, remaining });
            return false;
        }
        startAttempt(pass.state, job, *places, pass.out);
        return true;
    }

    /// Returns whether a job may take its reserved places now. Preemptible jobs always may; for others every guarantee
    /// must keep its places.
    bool mayUseReservedPlaces(schedule_state& state, const job_record& job, const std::vector<std::int32_t>& workers)
    {
        if (job.spec.preemptible)
            return true;
        const auto allowance = nonPreemptibleAllowance(state, workspaceIndex(state, job.spec.workspace));
        const auto demands = demandByWorker(job, workers);
        const auto safe = std::all_of(demands.begin(), demands.end(),
            [&](const auto& entry) { return fits(entry.second, allowance[entry.first]); });
        return safe || admitNonPreemptible(state, job.spec, workers);
    }

    /// Handles a job with a reservation: starts it if possible, stops the jobs backfilled on its places, or removes an
    /// outdated reservation. Returns whether the pass has finished with the job.
    bool tryReserved(pass_state& pass, job_record& job)
    {
        const auto found = pass.state.reservations.find(job.id);
        if (found == pass.state.reservations.end())
            return false;
        const auto workers = found->second.workers;
        if (arePlacesFree(pass.state, job, workers)) {
            if (mayUseReservedPlaces(pass.state, job, workers)) {
                startAttempt(pass.state, job, workers, pass.out);
                return true;
            }
            pass.state.reservations.erase(found);
            return false;
        }
        if (found->second.reclaiming) {
            // Another job may hold the places although the victims have stopped; then new places are searched for.
            const auto reclaimDeadline = found->second.expectedAt + pass.state.configuration.policy.stopTimeout;
            if (pass.state.now <= reclaimDeadline)
                return true;
            pass.state.reservations.erase(found);
            return false;
        }
        if (tryStart(pass, job))
            return true;
        return reclaimBackfilled(pass.state, job, pass.out);
    }

    void reserve(pass_state& pass, const job_record& job, reservation&& places)
    {
        if (gangAccelerators(job.spec) < minReservedAccelerators)
            return;
        const auto existing = pass.state.reservations.find(job.id);
        if (existing == pass.state.reservations.end()) {
            if (pass.state.reservations.size() < maxReservations)
                pass.state.reservations.emplace(job.id, std::move(places));
            return;
        }
        // A reservation moves only when its time has passed, because the capacity already drained for it would be lost.
        if (existing->second.expectedAt < pass.state.now)
            existing->second = std::move(places);
    }

    void scheduleJob(pass_state& pass, job_record& job)
    {
        if (!withinQuotas(pass.state, job))
            return;
        if (tryReserved(pass, job))
            return;
        if (!pass.state.reservations.contains(job.id) && tryStart(pass, job))
            return;
        if (pass.searches >= maxSearches)
            return;
        ++pass.searches;
        if (fitsGuarantee(pass.state, job) && reclaimForGuarantee(pass.state, job, pass.out))
            return;
        if (!pass.releases)
            pass.releases = expectedReleases(pass.state);
        auto places = earliestPlaces(pass.state, job, *pass.releases);
        if (!places)
            return;
        if (reclaimIfWorthwhile(pass.state, job, places->expectedAt - pass.state.now, pass.out))
            return;
        reserve(pass, job, std::move(*places));
    }

    std::set<job_id> jobsWithOrphanTasks(const schedule_state& state)
    {
        std::set<job_id> jobs;
        for (const auto& worker : state.workers)
            for (const auto& orphan : worker.orphans)
                jobs.insert(orphan.task.job);
        return jobs;
    }

    /// Starts one small job on each worker in quarantine whose probe is due, beginning at the end of the queue.
    void probeWorkers(pass_state& pass, const std::vector<job_id>& order)
    {
        for (std::size_t i = 0; i < pass.state.workers.size(); ++i) {
            const auto index = static_cast<std::int32_t>(i);
            const auto& worker = pass.state.workers[i];
            if (!worker.quarantined || worker.probeAt > pass.state.now || worker.state != worker_state::Ready)
                continue;
            for (auto id = order.rbegin(); id != order.rend(); ++id) {
                auto* job = findActive(pass.state, *id);
                if (!job || job->state != job_state::Queued || pass.state.reservations.contains(*id)
                    || !mayProbe(pass.state, *job, index) || avoids(pass.state, *job, worker)
                    || !withinQuotas(pass.state, *job) || !fits(job->spec.perTask, worker.capacity - worker.used))
                    continue;
                startAttempt(pass.state, *job, std::span(&index, 1), pass.out);
                recordProbe(pass.state, *job, index);
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
    pass_state pass { state, out, {}, 0, {} };
    for (const auto id : order)
        if (auto* job = findActive(state, id); job && job->state == job_state::Queued)
            scheduleJob(pass, *job);
    probeWorkers(pass, order);
}

} // namespace chervilport
