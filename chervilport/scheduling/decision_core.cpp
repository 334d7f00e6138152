#include "chervilport/scheduling/decision_core.h"

#include "chervilport/scheduling/event_handlers.h"
#include "chervilport/scheduling/schedule_pass.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/timers.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cassert>
#include <variant>

namespace chervilport {

namespace {

    /// Interval between scheduling passes while jobs are queued; their order changes with their age.
    constexpr log_duration reviewInterval = std::chrono::seconds(60);

    void updateWakeTime(schedule_state& state, std::vector<command>& out)
    {
        const auto queued = std::any_of(state.jobs.begin(), state.jobs.end(),
            [](const auto& entry) { return entry.second.state == job_state::Queued; });
        if (!queued)
            state.reviewAt.reset();
        else if (!state.reviewAt)
            state.reviewAt = state.now + reviewInterval;
        auto next = nextDueTime(state);
        // A run time observed in this event may have moved a job's latest useful start into the past.
        if (next)
            next = std::max(*next, state.now);
        if (next && next != state.wakeAt)
            out.emplace_back(wake_at { *next });
        state.wakeAt = next;
    }

} // namespace

void schedule_state_deleter::operator()(schedule_state* state) const { delete state; }

schedule_state_ptr makeScheduleState()
{
    schedule_state_ptr state(new schedule_state);
    rebuildDerived(*state);
    return state;
}

std::vector<command> applyEvent(schedule_state& state, const event& input, log_time now)
{
    assert(now >= state.now);
    state.now = std::max(state.now, now);
    std::vector<command> out;
    // Due timers run first, so that the event applies to the state at its time.
    auto changed = runDueTimers(state, out);
    changed |= std::visit([&](const auto& alternative) { return handleEvent(state, alternative, out); }, input);
    if (changed)
        schedulePass(state, out);
    reportShortfalls(state, out);
    updateWakeTime(state, out);
    return out;
}

} // namespace chervilport
