#include "chervilport/control/speed_recorder.h"

#include "chervilport/batch/recorded_speeds.h"

namespace chervilport {

namespace {

    /// Interval between proposals, and the maximum number of speeds in each: 32 a second for the whole pool. Speeds
    /// change rarely, and the log has to carry the ends of runs beside them.
    constexpr std::chrono::milliseconds recordInterval { 500 };
    constexpr std::size_t maxSpeedsPerInterval = 16;

} // namespace

std::vector<batch::worker_speed_observed> takeSpeedsToRecord(
    speed_recorder& recorder, const batch::worker_speeds& speeds, const batch::batch_state& state, log_time now)
{
    if (now < recorder.nextAt)
        return {};
    recorder.nextAt = now + recordInterval;
    return batch::speedsToRecord(speeds, state, maxSpeedsPerInterval);
}

} // namespace chervilport
