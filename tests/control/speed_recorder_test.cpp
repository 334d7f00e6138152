#include "chervilport/control/speed_recorder.h"

#include "chervilport/batch/batch_apply.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_speeds.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

/// Returns a state with this many workers.
batch::batch_state poolOf(int workers)
{
    batch::batch_state state;
    for (int i = 0; i < workers; ++i) {
        batch::worker_report report;
        report.id = "w" + std::to_string(i);
        report.address = "10.0.0." + std::to_string(i) + ":80";
        report.incarnation = 1;
        report.sequence = 1;
        batch::applyBatch(state, { 1'000, { batch::worker_reported { report } } });
    }
    return state;
}

} // namespace

// Guards against a new leader whose first samples of a whole pool fill the log: in no second more than a few dozen
// speeds are proposed, and all in the end.
Test(speedRecorder, rateIsBounded)
{
    constexpr int workers = 200;
    auto state = poolOf(workers);
    batch::worker_speeds speeds;
    for (const auto& [number, worker] : state.workers)
        speeds.workers[number] = { std::log(1.6), 9 };
    speed_recorder recorder;
    std::size_t recorded = 0;
    for (log_time now { 1'000s }; now < log_time { 1'010s }; now += 1s) {
        std::size_t inSecond = 0;
        for (auto at = now; at < now + 1s; at += 50ms) {
            for (const auto& observed : takeSpeedsToRecord(recorder, speeds, state, at)) {
                batch::applyBatch(state, { 1'000, { observed } });
                ++inSecond;
            }
        }
        cr_assert_leq(inSecond, 36);
        recorded += inSecond;
    }
    cr_assert_eq(recorded, workers);
}
