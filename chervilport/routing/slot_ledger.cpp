#include "chervilport/routing/slot_ledger.h"

#include "chervilport/routing/slot_division.h"

#include <algorithm>
#include <cmath>

namespace chervilport {

namespace {

    // Time after the receipt of a report from which the instance certainly uses none of the slots granted for it: the
    // lease and one attempt, plus the clock drift.
    log_duration holdTime(const slot_share_settings& settings)
    {
        const auto nominal = static_cast<double>((settings.leaseDuration + settings.maxAttemptDuration).count());
        return log_duration(static_cast<log_duration::rep>(nominal * (1 + settings.maxClockDrift)));
    }

    std::int32_t slotsOf(const std::map<upstream_id, std::int32_t>& slots, const upstream_id& executor)
    {
        const auto found = slots.find(executor);
        return found == slots.end() ? 0 : found->second;
    }

    void removeEndedShares(slot_ledger& ledger, log_time now)
    {
        std::erase_if(ledger.lost, [&](const auto& shares) { return now >= shares.freeAt; });
        std::erase_if(ledger.instances,
            [&](const auto& entry) { return now >= entry.second.lastReportAt + holdTime(ledger.settings); });
        if (now >= ledger.predecessorSharesEndAt)
            ledger.unreported.clear();
    }

    // Returns whether the instance takes part in the division: the lease of its last grant may still run.
    bool hasActiveGrant(const slot_ledger& ledger, const ledger_instance& instance, log_time now)
    {
        return now < instance.lastReportAt + ledger.settings.leaseDuration;
    }

    // Returns the weights of the last division if the instances are the same and no weight has changed by more than the
    // tolerance. Otherwise stores and returns the new weights.
    std::vector<double> applyWeightTolerance(slot_ledger& ledger, const std::string& service,
        const std::vector<std::string>& names, const std::vector<double>& newWeights)
    {
        auto& last = ledger.weights[service];
        std::vector<double> unchanged;
        unchanged.reserve(names.size());
        for (std::size_t i = 0; i < names.size(); ++i) {
            const auto known = last.find(names[i]);
            if (known == last.end()
                || std::abs(newWeights[i] - known->second) > ledger.settings.weightTolerance * known->second)
                break;
            unchanged.push_back(known->second);
        }
        if (unchanged.size() == names.size() && last.size() == names.size())
            return unchanged;
        last.clear();
        for (std::size_t i = 0; i < names.size(); ++i)
            last[names[i]] = newWeights[i];
        return newWeights;
    }

    // Sets the targets of all executors of a service from the demand of the instances.
    void divideService(slot_ledger& ledger, const std::string& service, const std::vector<std::string>& names)
    {
        // Collects the executors of the service.
        std::vector<const ledger_executor*> executors;
        std::vector<std::int32_t> slots;
        for (const auto& [id, executor] : ledger.executors) {
            if (executor.service != service)
                continue;
            executors.push_back(&executor);
            slots.push_back(executor.slots);
        }
        // Computes the weights: a fixed fraction is divided evenly, the rest by demand.
        double totalDemand = 0;
        std::vector<double> weights;
        for (const auto& name : names) {
            const auto& demand = ledger.instances[name].demand;
            const auto found = demand.find(service);
            weights.push_back(found == demand.end() ? 0 : std::max(found->second, 0));
            totalDemand += weights.back();
        }
        const auto even = 1.0 / static_cast<double>(names.size());
        for (auto& weight : weights) {
            const auto part = totalDemand > 0 ? weight / totalDemand : even;
            weight = ledger.settings.evenFraction * even + (1 - ledger.settings.evenFraction) * part;
        }
        weights = applyWeightTolerance(ledger, service, names, weights);
        // Divides the slots and stores the targets.
        const auto rows = divideSlots(slots, weights);
        for (std::size_t e = 0; e < executors.size(); ++e) {
            auto& targets = ledger.targets[executors[e]->id];
            for (std::size_t i = 0; i < names.size(); ++i)
                targets[names[i]] = rows[e][i];
        }
    }

    // Divides the slots of all services among the instances with an active grant.
    void divide(slot_ledger& ledger, log_time now)
    {
        ledger.targets.clear();
        ledger.dividedAt = now;
        std::vector<std::string> names;
        for (const auto& [name, instance] : ledger.instances) {
            if (hasActiveGrant(ledger, instance, now))
                names.push_back(name);
        }
        std::set<std::string> services;
        for (const auto& [id, executor] : ledger.executors)
            services.insert(executor.service);
        for (const auto& service : services)
            divideService(ledger, service, names);
    }

    // Stores a report. The outstanding slots of the instance become those that it reports, because it ignores grants
    // for earlier reports.
    void recordReport(slot_ledger& ledger, const share_report& report, log_time now)
    {
        auto& instance = ledger.instances[report.instance];
        if (instance.incarnation != report.incarnation && !instance.outstanding.empty())
            ledger.lost.push_back(
                { instance.lastReportAt + holdTime(ledger.settings), std::move(instance.outstanding) });
        instance.incarnation = report.incarnation;
        instance.sequence = report.sequence;
        instance.lastReportAt = now;
        instance.demand = report.demand;
        instance.outstanding.clear();
        for (const auto& share : report.held)
            instance.outstanding[share.executor] = share.slots;
        ledger.unreported.erase(report.instance);
    }

} // namespace

slot_ledger makeLedger(const slot_share_settings& settings, std::set<std::string> instances, log_time now)
{
    slot_ledger ledger;
    ledger.settings = settings;
    ledger.unreported = std::move(instances);
    ledger.predecessorSharesEndAt = now + holdTime(settings);
    return ledger;
}

void setExecutors(slot_ledger& ledger, const std::vector<ledger_executor>& executors)
{
    std::map<upstream_id, ledger_executor> next;
    for (const auto& executor : executors)
        next[executor.id] = executor;
    const bool isSame = std::equal(next.begin(), next.end(), ledger.executors.begin(), ledger.executors.end(),
        [](const auto& left, const auto& right) {
            return left.first == right.first && left.second.service == right.second.service
                && left.second.slots == right.second.slots;
        });
    if (isSame)
        return;
    ledger.executors = std::move(next);
    ledger.dividedAt.reset();
}

std::int32_t outstandingSlots(const slot_ledger& ledger, const upstream_id& executor)
{
    std::int32_t sum = 0;
    for (const auto& [name, instance] : ledger.instances)
        sum += slotsOf(instance.outstanding, executor);
    for (const auto& shares : ledger.lost)
        sum += slotsOf(shares.outstanding, executor);
    return sum;
}

std::optional<share_grant> processReport(slot_ledger& ledger, const share_report& report, log_time now)
{
    // Removes ended shares, and ignores a report that is not newer than the last one.
    removeEndedShares(ledger, now);
    const auto known = ledger.instances.find(report.instance);
    if (known != ledger.instances.end()
        && std::pair(report.incarnation, report.sequence)
            <= std::pair(known->second.incarnation, known->second.sequence))
        return std::nullopt;
    // Stores the report and divides the slots again if that is due.
    const bool isNew = known == ledger.instances.end();
    recordReport(ledger, report, now);
    if (isNew || !ledger.dividedAt || now >= *ledger.dividedAt + ledger.settings.minDivisionInterval)
        divide(ledger, now);

    // Grants the target of each executor, bounded by the slots that no other instance may use.
    share_grant grant { report.sequence, ledger.settings.leaseDuration, {} };
    auto& own = ledger.instances[report.instance].outstanding;
    for (const auto& [id, executor] : ledger.executors) {
        const auto held = slotsOf(own, id);
        const auto others = outstandingSlots(ledger, id) - held;
        // While unreported instances may hold shares from an earlier leader, an instance keeps at most what it reports.
        const auto free = std::max(executor.slots - others, 0);
        const auto bound = ledger.unreported.empty() ? free : std::min(free, held);
        const auto slots = std::clamp(ledger.targets[id][report.instance], 0, bound);
        if (slots > 0)
            grant.shares.push_back({ id, slots });
        if (std::max(held, slots) > 0)
            own[id] = std::max(held, slots);
    }
    return grant;
}

} // namespace chervilport
