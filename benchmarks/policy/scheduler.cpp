#include "benchmarks/policy/scheduler.h"

#include "benchmarks/policy/fifo_scheduler.h"
#ifdef CHERVILPORT_HAS_DECISION_CORE
#include "chervilport/scheduling/decision_core.h"
#endif

#include <memory>
#include <stdexcept>

namespace chervilport::policy_benchmark {

namespace {

#ifdef CHERVILPORT_HAS_DECISION_CORE
    scheduler makeDecisionCore()
    {
        const std::shared_ptr<schedule_state> state(makeScheduleState());
        return { "chervilport", [state](const event& input, log_time now) { return applyEvent(*state, input, now); },
            [state] { return encodeState(*state).size(); } };
    }
#endif

    scheduler makeFifo(std::string name, bool usesBackfill)
    {
        const auto state = std::make_shared<fifo_state>();
        state->usesBackfill = usesBackfill;
        return { std::move(name),
            [state](const event& input, log_time now) { return applyFifoEvent(*state, input, now); },
            [] { return std::size_t { 0 }; } };
    }

} // namespace

std::vector<std::string> schedulerNames()
{
#ifdef CHERVILPORT_HAS_DECISION_CORE
    return { "chervilport", "fifo_backfill", "fifo_first_fit" };
#else
    return { "fifo_backfill", "fifo_first_fit" };
#endif
}

scheduler makeScheduler(std::string_view name)
{
    if (name == "fifo_first_fit")
        return makeFifo(std::string(name), false);
    if (name == "fifo_backfill")
        return makeFifo(std::string(name), true);
#ifdef CHERVILPORT_HAS_DECISION_CORE
    if (name == "chervilport")
        return makeDecisionCore();
#endif
    throw std::invalid_argument("unknown scheduler " + std::string(name));
}

} // namespace chervilport::policy_benchmark
