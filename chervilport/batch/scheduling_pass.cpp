#include "chervilport/batch/scheduling_pass.h"

#include "chervilport/batch/gang_reservation.h"
#include "chervilport/batch/guaranteed_jobs.h"
#include "chervilport/batch/pass_order.h"
#include "chervilport/batch/preemption.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/run_accounting.h"
#include "chervilport/batch/step_placement.h"
#include "chervilport/batch/suspect_isolation.h"
#include "chervilport/batch/worker_slot.h"

#include <algorithm>

namespace chervilport::batch {

namespace {

    /// Duration of a reservation for a job, in milliseconds: the time to stop runs and commit their ends.
    constexpr std::int64_t reservationMs = 2'500;
    /// Time that tasks wait before they may use workers that are reserved for urgent jobs, in milliseconds. Tasks that
    /// end wait for an idle pool as well.
    constexpr std::int64_t urgentReservationWaitMs = 6'000;
    /// Time that tasks wait for the rack where they are fast, as a ratio of the run time that it saves.
    constexpr double rackWaitRatio = 0.5;
    /// Maximum time that tasks wait for that rack in an idle pool, in milliseconds, so that all tasks that fit start
    /// within 3 s.
    constexpr double maxIdleRackWaitMs = 2'500;
    /// Time for the requests, commits and passes around the stop of a run, in milliseconds.
    constexpr std::int64_t stopOverheadMs = 1'400;

    /// Longest time to stop a run for which fillers may use the workers that are reserved for urgent jobs, in
    /// milliseconds: the start of a short urgent job may wait for that long without missing its objective.
    constexpr std::int64_t maxFillerStopMs = 500;

    /// Steps of one service that wait for room.
    struct waiting_queue {
        std::size_t count = 0;
        std::string first;
    };

    /// Inputs and progress of a pass.
    struct pass {
        const batch_state& state;
        scheduler_state& schedulerState;
        placement_bounds bounds;
        std::int64_t nowMs;
        std::set<std::string> guaranteed;
        worker_slots slots;
        /// Services of whose workers less than half of every resource is in use.
        std::set<std::string> idleServices;
        /// What the loss of a preempted run is computed from.
        preemption_prices prices;
        /// Steps that wait, by service.
        std::map<std::string, waiting_queue> waiting;
        scheduling_result result;
    };

    worker_slots makeSlots(const batch_state& state, const std::map<worker_number, worker_condition>& conditions,
        const scheduler_state& schedulerState, std::int64_t nowMs)
    {
        const auto classes = speedClasses(schedulerState.speeds);
        worker_slots slots;
        for (const auto& [number, worker] : state.workers) {
            const auto condition = conditions.find(number);
            worker_slot slot;
            slot.worker = &worker;
            slot.free = freeCapacityOf(worker);
            slot.runs = worker.activeRuns;
            const auto speedClass = classes.find(number);
            slot.isSpeedKnown = speedClass != classes.end();
            slot.speedClass = slot.isSpeedKnown ? speedClass->second : 0;
            slot.hasCrashedLately = hasCrashedLately(state.crashes, worker.report.address, nowMs);
            if (condition != conditions.end()) {
                slot.isUsable = condition->second.isUsable && acceptsRuns(state, worker);
                slot.failureWeight = condition->second.failureWeight;
            }
            const auto reservation = schedulerState.reservations.find(number);
            if (reservation != schedulerState.reservations.end())
                slot.reservedFor = reservation->second.job;
            slots.push_back(std::move(slot));
        }
        numberRacks(slots);
        isolateSuspects(slots, state, nowMs);
        return slots;
    }

    void removeExpired(const batch_state& state, scheduler_state& schedulerState, std::int64_t nowMs)
    {
        std::erase_if(schedulerState.stopping, [&](const run_ref& run) {
            const auto* const task = findTask(state, run.task);
            return task == nullptr || task->worker == noWorker || task->lastRun != run.run;
        });
        std::erase_if(schedulerState.reservations, [&](const auto& entry) {
            const auto* const job = findJob(state, entry.second.job);
            return entry.second.expiresMs <= nowMs || job == nullptr || job->phase != job_phase::Active;
        });
    }

    const std::string& serviceOf(const batch_state& state, const job_record& job)
    {
        return queueOf(state.config, job).service;
    }

    bool hasWaited(const pass& current, const ready_step& ready)
    {
        return current.nowMs - ready.jobDueMs > urgentReservationWaitMs;
    }

    std::vector<ordered_step> orderReadySteps(pass& current)
    {
        const auto& estimates = current.schedulerState.estimates;
        auto ready = separateSuspects(
            listReadySteps(current.state, current.nowMs), current.state, current.slots, current.nowMs);
        const auto waitMs = meanWaitMs(estimates, ready);
        std::vector<ordered_step> ordered;
        for (auto& each : ready) {
            const bool waits = hasWaited(current, each);
            each.mayUseUrgentReservation = each.job->queue.priority == guaranteedPriority
                || (waits && current.idleServices.contains(serviceOf(current.state, *each.job)))
                || (current.bounds.maxStopMs <= maxFillerStopMs && specOf(each).checkpointing
                    && isFiller(*each.job, specOf(each)));
            ordered_step next { std::move(each) };
            assessDelay(next, current.state, estimates, waitMs, current.nowMs);
            // A guaranteed job may reclaim capacity at once for its first start. After it has lost its runs, it may do
            // so only while it can still meet its objective.
            const auto& job = *next.step.job;
            const bool mayReclaim = next.status == objective_status::OnTime || !job.hasStarted;
            next.isGuaranteed = mayReclaim && current.guaranteed.contains(job.request.id);
            next.isOverdueService = waits && specOf(next.step).longRunning;
            ordered.push_back(std::move(next));
        }
        weighByShares(ordered, current.schedulerState.use, current.state.config);
        sortForPass(ordered);
        current.prices = pricesOf(ordered, waitMs);
        return ordered;
    }

    /// Returns the time that a step waits for the rack where it is fast, in milliseconds.
    double rackWaitMs(const pass& current, const ready_step& ready, const std::string& service, bool isGuaranteed)
    {
        // A guarantee must be met within the reclaim time, which includes the time to stop other runs.
        const auto& bounds = current.bounds;
        if (isGuaranteed)
            return static_cast<double>(std::max<std::int64_t>(0, bounds.reclaimMs - bounds.maxStopMs - stopOverheadMs));
        const auto saved
            = (bounds.offRackSlowdown - 1) * expectedRunMs(current.schedulerState.estimates, *ready.job, specOf(ready));
        const auto wait = rackWaitRatio * saved;
        return current.idleServices.contains(service) ? std::min(wait, maxIdleRackWaitMs) : wait;
    }

    std::uint32_t nextRun(const ready_step& ready, std::uint32_t index)
    {
        if (ready.progress == nullptr)
            return 1;
        // All members of a gang have the same run number.
        if (specOf(ready).gang) {
            std::uint32_t last = 0;
            for (const auto& task : ready.progress->tasks)
                last = std::max(last, task.lastRun);
            return last + 1;
        }
        return ready.progress->tasks[index].lastRun + 1;
    }

    void assign(pass& current, const ready_step& ready, const placed_task& placed)
    {
        const task_ref task { ready.job->request.id, ready.occurrence, ready.step, placed.index };
        auto& slot = current.slots[placed.slot];
        ++slot.runs;
        if (specOf(ready).maxPerWorker > 0)
            slot.limitedTasks.push_back(task);
        if (ready.isSuspect)
            slot.isolatedFor = ready.job->request.id;
        const auto worker = slot.worker->number;
        current.result.assigned.push_back({ { task, nextRun(ready, placed.index) }, worker });
    }

    /// Releases the workers that are reserved for a job.
    void releaseReservations(pass& current, const std::string& job)
    {
        std::erase_if(current.schedulerState.reservations, [&](const auto& entry) { return entry.second.job == job; });
        for (auto& slot : current.slots) {
            if (slot.reservedFor == job)
                slot.reservedFor.clear();
        }
    }

    void preemptFor(pass& current, std::vector<preemption_victim>& victims, const ordered_step& ordered,
        const std::string& service, bool allowOffRack)
    {
        const auto& ready = ordered.step;
        const auto scope = ordered.isGuaranteed ? victim_scope::All : victim_scope::Fillers;
        const auto ageMs = static_cast<double>(current.nowMs - ready.jobDueMs);
        const auto slowLoss
            = hasObjective(ordered.cost) ? lossOnSlowWorkers(current.slots, ordered.cost, ageMs) : slow_worker_loss {};
        for (const auto& choice :
            choosePreemptions(current.slots, victims, ready, slowLoss, service, allowOffRack, scope)) {
            const auto worker = current.slots[choice.slot].worker->number;
            current.schedulerState.reservations[worker] = { ready.job->request.id, current.nowMs + reservationMs };
            current.slots[choice.slot].reservedFor = ready.job->request.id;
            for (const auto& run : choice.victims) {
                if (current.schedulerState.stopping.insert(run).second)
                    current.result.preempted.push_back({ run, ready.job->request.id });
            }
        }
    }

    /// A demand that did not fit on any worker in this pass. Steps of the same service that need at least as much, with
    /// the same label or with any label if this one is empty, are not tried again, unless they may use more workers.
    struct unplaceable_size {
        resource_demand demand;
        std::string service;
        std::string label;
        bool mayUseUrgentReservation = false;
    };

    bool isUnplaceable(const std::vector<unplaceable_size>& sizes, const ready_step& ready, const std::string& service)
    {
        const auto& spec = specOf(ready);
        const auto demand = chargedDemand(spec);
        return std::any_of(sizes.begin(), sizes.end(), [&](const unplaceable_size& size) {
            const bool mayUseMore = ready.mayUseUrgentReservation && !size.mayUseUrgentReservation;
            return !mayUseMore && size.service == service && (size.label.empty() || size.label == spec.requiredLabel)
                && fitsInto(size.demand, demand);
        });
    }

    /// Decides which services are idle, and reserves workers of each for urgent jobs.
    void reservePools(pass& current)
    {
        std::set<std::string> services;
        for (const auto& slot : current.slots)
            services.insert(slot.worker->report.service);
        for (const auto& service : services) {
            if (isMostlyIdle(current.slots, service))
                current.idleServices.insert(service);
            const auto demand = urgentDemand(current.state, current.slots, service);
            auto& window = current.schedulerState.urgentDemand[service];
            reserveForUrgent(current.slots, service, addDemandSample(window, demand, current.nowMs));
        }
    }

    /// Records that the remaining tasks of the step wait.
    void recordWait(pass& current, const ordered_step& ordered, const std::string& service, std::size_t tasks)
    {
        auto& queue = current.waiting[service];
        const auto& ready = ordered.step;
        const auto& job = ready.job->request.id;
        current.result.waiting.push_back({ job, ready.occurrence, ready.step, tasks, current.nowMs - ready.jobDueMs,
            ordered.status, queue.count, queue.first });
        if (queue.count++ == 0)
            queue.first = job;
    }

    bool anyFits(const pass& current, const ready_step& ready, const std::string& service)
    {
        const auto demand = chargedDemand(specOf(ready));
        return std::any_of(current.slots.begin(), current.slots.end(), [&](const worker_slot& slot) {
            return slot.isUsable && fitsInto(demand, slot.free) && isEligible(slot, ready, service);
        });
    }

} // namespace

scheduling_result planPass(const batch_state& state, const std::map<worker_number, worker_condition>& conditions,
    scheduler_state& schedulerState, const placement_bounds& bounds, std::int64_t nowMs)
{
    // Prepare the slots and the reservations for urgent jobs.
    removeExpired(state, schedulerState, nowMs);
    recordUse(schedulerState.use, state, nowMs);
    pass current { state, schedulerState, bounds, nowMs, guaranteedJobs(state, schedulerState.estimates, nowMs),
        makeSlots(state, conditions, schedulerState, nowMs) };
    reservePools(current);
    std::vector<preemption_victim> victims;
    bool hasListedVictims = false;
    std::vector<unplaceable_size> unplaceable;
    auto gangBudget = makeGangReservationBudget(current.slots);

    // Place the ready steps in order of their rank.
    for (auto& ordered : orderReadySteps(current)) {
        auto& each = ordered.step;
        const bool isGuaranteed = ordered.isGuaranteed;
        const auto& service = serviceOf(state, *each.job);
        // A long-running task keeps the worker for good, so it takes a reserved one only if there is no other.
        if (ordered.isOverdueService && !anyFits(current, each, service))
            each.mayUseUrgentReservation = true;
        const bool isUrgent
            = each.job->queue.priority == guaranteedPriority && ordered.status == objective_status::OnTime;
        const bool mayPreempt = (isGuaranteed || isUrgent) && !each.needsEmptyWorker;
        const bool mayReserve = !isGuaranteed && specOf(each).gang && ordered.status != objective_status::Expired;
        if (!mayPreempt && isUnplaceable(unplaceable, each, service)) {
            if (mayReserve)
                reserveForGang(current.slots, each, service, gangBudget);
            recordWait(current, ordered, service, each.tasks.size());
            continue;
        }
        const bool allowOffRack
            = static_cast<double>(nowMs - each.jobDueMs) > rackWaitMs(current, each, service, isGuaranteed);
        const auto placed = placeStep(current.slots, each, service, allowOffRack);
        for (const auto& task : placed)
            assign(current, each, task);
        if (placed.size() == each.tasks.size()) {
            if (mayPreempt)
                releaseReservations(current, each.job->request.id);
            continue;
        }
        recordWait(current, ordered, service, each.tasks.size() - placed.size());
        if (!isGuaranteed) {
            if (mayReserve)
                reserveForGang(current.slots, each, service, gangBudget);
            if (!anyFits(current, each, service))
                unplaceable.push_back(
                    { chargedDemand(specOf(each)), service, specOf(each).requiredLabel, each.mayUseUrgentReservation });
        }
        if (!mayPreempt)
            continue;
        // Preempt borrowers for the tasks of a guaranteed job that were not placed, and fillers for other urgent ones.
        if (!hasListedVictims)
            victims = listVictims(
                state, schedulerState.estimates, current.prices, current.guaranteed, schedulerState.stopping, nowMs);
        hasListedVictims = true;
        each.tasks.erase(each.tasks.begin(), each.tasks.begin() + static_cast<std::ptrdiff_t>(placed.size()));
        preemptFor(current, victims, ordered, service, allowOffRack);
    }
    return std::move(current.result);
}

} // namespace chervilport::batch
