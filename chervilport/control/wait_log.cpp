#include "chervilport/control/wait_log.h"

#include "chervilport/logging/event_log.h"
#include "chervilport/metrics/metric_registry.h"

#include <array>
#include <utility>

namespace chervilport {

namespace {

    using batch::objective_status;

    constexpr std::int64_t firstLoggedMs = 1'000;
    constexpr std::array statuses { objective_status::OnTime, objective_status::Late, objective_status::Expired };

    const char* nameOf(objective_status status)
    {
        switch (status) {
        case objective_status::OnTime:
            return "in_time";
        case objective_status::Late:
            return "late";
        case objective_status::Expired:
            return "expired";
        }
        return "unknown";
    }

    void logWait(const batch::waiting_step& step)
    {
        logEvent("job_waits",
            { { "job", step.job }, { "step", step.step }, { "tasks", step.tasks }, { "age_ms", step.ageMs },
                { "status", nameOf(step.status) }, { "ahead", step.ahead }, { "behind", step.firstAhead } });
    }

} // namespace

void logWaits(wait_log& log, const std::vector<batch::waiting_step>& waiting, metric_registry& metrics)
{
    std::map<std::string, std::int64_t> nextMs;
    std::map<objective_status, std::size_t> counts;
    for (const auto& step : waiting) {
        ++counts[step.status];
        const auto known = log.nextMs.find(step.job);
        const auto next = known == log.nextMs.end() ? firstLoggedMs : known->second;
        const bool isDue = step.ageMs >= next;
        if (isDue && nextMs.try_emplace(step.job, 2 * step.ageMs).second)
            logWait(step);
        else
            nextMs.try_emplace(step.job, next);
    }
    log.nextMs = std::move(nextMs);
    for (const auto status : statuses)
        metrics.set("chervilport_steps_waiting", { { "status", nameOf(status) } }, static_cast<double>(counts[status]));
}

} // namespace chervilport
