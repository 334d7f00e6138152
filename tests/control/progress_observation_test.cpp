#include "chervilport/control/progress_observation.h"

#include <chrono>
#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

const log_time begin { 100s };

} // namespace

// Guards against the pace of a run that resumes from a checkpoint and seems fast, since part of its work was done
// before.
Test(progressObservation, firstReportOfAResumedRunOnlyBeginsTheObservation)
{
    progress_observation observation;
    cr_assert(!observeProgress(observation, 60, begin));
    const auto pace = observeProgress(observation, 80, begin + 1s);
    cr_assert(pace.has_value());
    cr_assert_float_eq(pace->workPerMs, 0.2 / 1'000, 1e-9);
    cr_assert(!pace->isLowerBound);
}

// Guards against paces of a few percent, where the rounding of the reports is a large part of the progress.
Test(progressObservation, shortObservationsGiveNoPace)
{
    progress_observation observation { begin, 0 };
    cr_assert(!observeProgress(observation, 9, begin + 1s));
    cr_assert(!observeProgress(observation, 50, begin + 299ms));
    cr_assert(observeProgress(observation, 50, begin + 1s).has_value());
}

// Guards against a fast worker that seems slow because its run had ended its work some time before the report.
Test(progressObservation, finishedRunGivesALowerBound)
{
    progress_observation observation { begin, 0 };
    const auto pace = observeProgress(observation, 100, begin + 1s);
    cr_assert(pace.has_value());
    cr_assert(pace->isLowerBound);
}
