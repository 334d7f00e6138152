#include "chervilport/scheduling/witness.h"

#include "chervilport/scheduling/placement.h"
#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <tuple>
#include <utility>

namespace chervilport {

namespace {

    using use_table = std::vector<std::vector<resources>>;

    /// Returns the capacity that all workspaces together need on a worker. The guaranteed places of a workspace may
    /// overlap only with its own non-preemptible jobs.
    resources neededOn(const schedule_state& state, const use_table& witnessUse, std::size_t worker)
    {
        resources sum;
        for (std::size_t i = 0; i < state.nonPreemptibleUse.size(); ++i)
            sum = sum
                + (i < witnessUse.size() ? maxOf(witnessUse[i][worker], state.nonPreemptibleUse[i][worker])
                                         : state.nonPreemptibleUse[i][worker]);
        return sum;
    }

    resources witnessCapacity(const worker_record& worker)
    {
        return isPlaceable(worker) ? worker.capacity : resources {};
    }

    void addInstance(use_table& use, const witness_instance& instance)
    {
        for (const auto worker : instance.workers)
            use[instance.workspace][worker] = use[instance.workspace][worker] + instance.gang.perTask;
    }

    void removeInstance(use_table& use, const witness_instance& instance)
    {
        for (const auto worker : instance.workers)
            use[instance.workspace][worker] = use[instance.workspace][worker] - instance.gang.perTask;
    }

    use_table sumInstances(const schedule_state& state, const std::vector<witness_instance>& instances)
    {
        use_table use(state.configuration.workspaces.size(), std::vector<resources>(state.workers.size()));
        for (const auto& instance : instances)
            addInstance(use, instance);
        return use;
    }

    /// Finds a place for one instance beside the others. Places on the workspace's own non-preemptible jobs use no
    /// additional capacity, so they are preferred.
    bool placeInstance(const schedule_state& state, use_table& use, witness_instance& instance)
    {
        const auto count = state.workers.size();
        const auto own = static_cast<std::size_t>(instance.workspace);
        slot_table slots { std::vector<std::int32_t>(count), std::vector<std::int32_t>(count),
            std::vector<std::int64_t>(count), std::vector<std::int32_t>(count) };
        for (std::size_t i = 0; i < count; ++i) {
            if (!isPlaceable(state.workers[i]))
                continue;
            auto others = neededOn(state, use, i) - maxOf(use[own][i], state.nonPreemptibleUse[own][i]);
            const auto freeCapacity = state.workers[i].capacity - others - use[own][i];
            slots.total[i] = countFitting(instance.gang.perTask, freeCapacity, instance.gang.taskCount);
            slots.free[i] = slots.total[i];
            slots.freeAccelerators[i]
                = std::max(0, freeCapacity.accelerators - state.nonPreemptibleUse[own][i].accelerators);
        }
        auto workers = placeGang(state.racks, slots, instance.gang.taskCount, instance.gang.placement);
        if (!workers)
            return false;
        instance.workers = std::move(*workers);
        addInstance(use, instance);
        return true;
    }

    /// Drops the places on workers that are out of service or on which non-preemptible jobs and other places exceed the
    /// capacity.
    void dropInvalid(const schedule_state& state, use_table& use, std::vector<witness_instance>& instances)
    {
        for (std::size_t worker = 0; worker < state.workers.size(); ++worker) {
            // A worker out of service loses all its places, whatever non-preemptible jobs use on it.
            const auto& record = state.workers[worker];
            const auto mustDropInstance = [&] {
                if (!isPlaceable(record))
                    return true;
                return !fits(neededOn(state, use, worker), witnessCapacity(record));
            };
            for (auto instance = instances.rbegin(); instance != instances.rend() && mustDropInstance(); ++instance) {
                if (std::find(instance->workers.begin(), instance->workers.end(), static_cast<std::int32_t>(worker))
                    == instance->workers.end())
                    continue;
                removeInstance(use, *instance);
                instance->workers.clear();
            }
        }
    }

    std::int64_t missingIn(const std::vector<witness_instance>& instances)
    {
        std::int64_t sum = 0;
        for (const auto& instance : instances)
            if (instance.workers.empty())
                sum += instance.gang.taskCount * std::max(1, instance.gang.perTask.accelerators);
        return sum;
    }

    /// Returns the order in which instances are packed: by strictness of the placement and then by size, or the other
    /// way round with `sizeFirst`.
    std::vector<std::size_t> packingOrder(const std::vector<witness_instance>& instances, bool sizeFirst)
    {
        std::vector<std::size_t> order(instances.size());
        std::iota(order.begin(), order.end(), 0);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            const auto key = [&](const witness_instance& instance) {
                const auto size = -instance.gang.taskCount * instance.gang.perTask.accelerators;
                const auto strictness = -static_cast<std::int32_t>(instance.gang.placement);
                return sizeFirst ? std::pair(size, strictness) : std::pair(strictness, size);
            };
            return key(instances[a]) < key(instances[b]);
        });
        return order;
    }

    /// Places the instances that have none, in the given order.
    void placeMissing(const schedule_state& state, use_table& use, std::vector<witness_instance>& instances,
        const std::vector<std::size_t>& order)
    {
        // A gang that did not fit does not fit later in the same call, because free capacity only decreases.
        std::vector<std::size_t> failed;
        for (const auto index : order) {
            auto& instance = instances[index];
            if (!instance.workers.empty())
                continue;
            const auto isSame = [&](std::size_t other) {
                return instances[other].workspace == instance.workspace && instances[other].gang == instance.gang;
            };
            if (std::any_of(failed.begin(), failed.end(), isSame))
                continue;
            if (!placeInstance(state, use, instance))
                failed.push_back(index);
        }
    }

    bool hasEnoughCapacity(const schedule_state& state)
    {
        std::int64_t capacity = 0;
        for (const auto& worker : state.workers)
            capacity += isPlaceable(worker) ? worker.capacity.accelerators : 0;
        std::int64_t guaranteed = 0;
        for (const auto& workspace : state.configuration.workspaces)
            guaranteed += guaranteedAccelerators(workspace);
        return guaranteed <= capacity;
    }

    /// Returns the best instances found: the current ones with missing places added, or a new packing if that leaves a
    /// smaller shortfall.
    std::vector<witness_instance> improveWitness(const schedule_state& state)
    {
        auto best = state.witness;
        auto use = sumInstances(state, best);
        dropInvalid(state, use, best);
        if (missingIn(best) == 0)
            return best;
        placeMissing(state, use, best, packingOrder(best, false));
        // Without enough capacity for all guarantees a new packing does not justify its time.
        if (!hasEnoughCapacity(state))
            return best;
        for (const auto sizeFirst : { false, true }) {
            if (missingIn(best) == 0)
                break;
            auto repacked = state.witness;
            for (auto& instance : repacked)
                instance.workers.clear();
            use = sumInstances(state, repacked);
            placeMissing(state, use, repacked, packingOrder(repacked, sizeFirst));
            if (missingIn(repacked) < missingIn(best))
                best = std::move(repacked);
        }
        return best;
    }

} // namespace

void rebuildWitnessUse(schedule_state& state) { state.witnessUse = sumInstances(state, state.witness); }

void rebuildWitnessInstances(schedule_state& state, std::span<const workspace_config> previous)
{
    auto old = std::exchange(state.witness, {});
    const auto& workspaces = state.configuration.workspaces;
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        for (const auto& part : workspaces[i].guarantee)
            for (std::int32_t ordinal = 0; ordinal < part.count; ++ordinal) {
                auto gang = part;
                gang.count = 1;
                state.witness.push_back({ static_cast<std::int32_t>(i), gang, {} });
            }
    // Places are kept where the workspace and the gang are the same; `repairWitness` drops those that are no longer
    // valid.
    for (auto& instance : state.witness) {
        const auto kept = std::find_if(old.begin(), old.end(), [&](const witness_instance& other) {
            return !other.workers.empty() && other.gang == instance.gang
                && previous[other.workspace].name == workspaces[instance.workspace].name;
        });
        if (kept != old.end())
            instance.workers = std::exchange(kept->workers, {});
    }
    rebuildWitnessUse(state);
}

void repairWitness(schedule_state& state)
{
    state.witness = improveWitness(state);
    rebuildWitnessUse(state);
}

std::int32_t missingAccelerators(const schedule_state& state, std::size_t workspace)
{
    std::int32_t sum = 0;
    for (const auto& instance : state.witness)
        if (instance.workers.empty() && static_cast<std::size_t>(instance.workspace) == workspace)
            sum += instance.gang.taskCount * instance.gang.perTask.accelerators;
    return sum;
}

bool hasShortfall(const schedule_state& state)
{
    return std::any_of(state.witness.begin(), state.witness.end(),
        [](const witness_instance& instance) { return instance.workers.empty(); });
}

std::vector<resources> nonPreemptibleAllowance(const schedule_state& state, std::size_t workspace)
{
    const auto shortfall = hasShortfall(state);
    std::vector<resources> allowance(state.workers.size());
    const auto hasGuarantee = workspace < state.witnessUse.size();
    for (std::size_t i = 0; i < allowance.size(); ++i) {
        if (!isPlaceable(state.workers[i]))
            continue;
        const auto guaranteed = hasGuarantee ? state.witnessUse[workspace][i] : resources {};
        const auto nonPreemptible = state.nonPreemptibleUse[workspace][i];
        if (shortfall) {
            allowance[i] = guaranteed - nonPreemptible;
            continue;
        }
        const auto others = neededOn(state, state.witnessUse, i) - maxOf(guaranteed, nonPreemptible);
        allowance[i] = state.workers[i].capacity - others - nonPreemptible;
    }
    return allowance;
}

bool admitNonPreemptible(schedule_state& state, const job_spec& spec, std::span<const std::int32_t> workers)
{
    if (hasShortfall(state))
        return false;
    auto& nonPreemptible = state.nonPreemptibleUse[workspaceIndex(state, spec.workspace)];
    for (const auto worker : workers)
        nonPreemptible[worker] = nonPreemptible[worker] + spec.perTask;
    auto improved = improveWitness(state);
    for (const auto worker : workers)
        nonPreemptible[worker] = nonPreemptible[worker] - spec.perTask;
    if (missingIn(improved) != 0)
        return false;
    state.witness = std::move(improved);
    rebuildWitnessUse(state);
    return true;
}

void reportShortfalls(schedule_state& state, std::vector<command>& out)
{
    std::map<std::string, std::int32_t> present;
    const auto& workspaces = state.configuration.workspaces;
    for (std::size_t i = 0; i < workspaces.size(); ++i)
        if (const auto missing = missingAccelerators(state, i); missing > 0)
            present[workspaces[i].name] = missing;
    for (const auto& [name, missing] : present)
        if (const auto old = state.reportedShortfall.find(name);
            old == state.reportedShortfall.end() || old->second != missing)
            out.emplace_back(guarantee_shortfall_changed { name, missing });
    for (const auto& [name, missing] : state.reportedShortfall)
        if (!present.contains(name))
            out.emplace_back(guarantee_shortfall_changed { name, 0 });
    state.reportedShortfall = std::move(present);
}

} // namespace chervilport
