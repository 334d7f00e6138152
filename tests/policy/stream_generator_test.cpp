#include "benchmarks/policy/lower_bound.h"
#include "benchmarks/policy/stream_generator.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::policy_benchmark;

namespace {

constexpr std::int32_t load = 900;

profile smallSite() { return allProfiles().front(); }

} // namespace

// Guards against schedulers being compared on different submissions, run times or faults.
Test(streamGenerator, sameSeedGivesSameStream)
{
    for (const auto& site : allProfiles()) {
        const auto first = generateStream(site, load, 41);
        const auto second = generateStream(site, load, 41);
        cr_assert(first.jobs == second.jobs);
        cr_assert(first.faults == second.faults);
        cr_assert(first.workers == second.workers);
    }
}

// Guards against a generator that ignores its seed, so that several seeds would measure one stream.
Test(streamGenerator, otherSeedGivesOtherStream)
{
    const auto first = generateStream(smallSite(), load, 41);
    const auto second = generateStream(smallSite(), load, 42);
    cr_assert_not(first.jobs == second.jobs);
    cr_assert_not(first.faults == second.faults);
}

// Guards against draws that depend on the platform or the standard library. The expected values come from this
// generator; a deliberate change of the generator changes them.
Test(streamGenerator, firstJobMatchesReference)
{
    const auto stream = generateStream(smallSite(), load, 41);
    const auto& job = stream.jobs.front();
    cr_assert_eq(stream.jobs.size(), 1170U);
    cr_assert_eq(job.submittedAt.time_since_epoch().count(), 566'177'433);
    cr_assert_eq(job.trueRunTime.count(), 504'291'720);
}

// Guards against a stream whose load differs from the requested one.
Test(streamGenerator, offeredWorkMatchesLoad)
{
    for (const auto& site : allProfiles()) {
        const auto stream = generateStream(site, load, 43);
        double offered = 0;
        for (const auto& job : stream.jobs) {
            if (isMeasured(job))
                offered += static_cast<double>(acceleratorsOf(job.spec)) * static_cast<double>(job.trueRunTime.count());
        }
        const auto period = static_cast<double>(stream.endOfSubmissions.time_since_epoch().count());
        const auto capacity = period * site.workers * site.workerCapacity.accelerators;
        // The rest up to 0.9 is work of jobs that are cancelled.
        cr_assert(offered / capacity > 0.78 && offered / capacity < 0.901, "load of %s is %f", site.name.c_str(),
            offered / capacity);
    }
}

// Guards against a stream without the failures that the policy has to handle.
Test(streamGenerator, streamHasFaultsCancellationsAndImpossibleJobs)
{
    const auto stream = generateStream(smallSite(), load, 44);
    const auto isOutage = [&](const stream_fault& fault) { return fault.workers.size() == stream.workers.size(); };
    const auto isRackLoss = [&](const stream_fault& fault) {
        return fault.kind == fault_kind::Down && fault.workers.size() > 1 && !isOutage(fault);
    };
    const auto failsStarts = [](const stream_fault& fault) { return fault.kind == fault_kind::FailsStarts; };
    const auto& faults = stream.faults;
    cr_assert(std::any_of(faults.begin(), faults.end(), isOutage));
    cr_assert(std::any_of(faults.begin(), faults.end(), isRackLoss));
    cr_assert(std::any_of(faults.begin(), faults.end(), failsStarts));
    const auto& jobs = stream.jobs;
    cr_assert(std::any_of(jobs.begin(), jobs.end(), [](const stream_job& job) { return job.cancelAt.has_value(); }));
    cr_assert(std::any_of(jobs.begin(), jobs.end(), [](const stream_job& job) { return !job.canRun; }));
    cr_assert(std::any_of(jobs.begin(), jobs.end(), [](const stream_job& job) { return job.alwaysFails; }));
}

// Guards against a bound below the run times or above what a fleet with one job needs.
Test(lowerBound, singleJobNeedsItsRunTime)
{
    auto stream = generateStream(smallSite(), load, 45);
    stream.jobs.erase(
        std::remove_if(stream.jobs.begin(), stream.jobs.end(), [](const stream_job& job) { return !isMeasured(job); }),
        stream.jobs.end());
    stream.jobs.resize(1);
    const auto runTime = static_cast<double>(stream.jobs.front().trueRunTime.count()) / 1e6;
    cr_assert_float_eq(meanCompletionBoundSeconds(stream), runTime, 1e-3);
}

// Guards against a bound that ignores the queue: jobs for the whole fleet can only run one after the other.
Test(lowerBound, jobsForTheWholeFleetQueue)
{
    auto stream = generateStream(smallSite(), load, 46);
    stream_job job;
    job.spec.taskCount = 1;
    job.spec.perTask.accelerators = stream.site.workers * stream.site.workerCapacity.accelerators;
    job.trueRunTime = std::chrono::seconds(100);
    stream.jobs.assign(3, job);
    cr_assert_float_eq(meanCompletionBoundSeconds(stream), 200, 1e-3);
}
