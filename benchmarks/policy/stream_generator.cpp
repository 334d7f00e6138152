#include "benchmarks/policy/stream_generator.h"

#include "benchmarks/policy/fault_generator.h"
#include "benchmarks/policy/fleet_map.h"
#include "benchmarks/policy/random_source.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace chervilport::policy_benchmark {

namespace {

    using std::chrono::hours;
    using std::chrono::minutes;

    constexpr log_duration day = hours(24);

    /// Share of jobs that are too large for any worker or rack, in thousandths.
    constexpr std::int64_t impossiblePermille = 15;
    /// Share of jobs that fail on every worker, in thousandths.
    constexpr std::int64_t alwaysFailsPermille = 8;
    /// Share of gangs that are submitted in the evening for the next morning, in thousandths.
    constexpr std::int64_t overnightPermille = 500;

    using duration_range = std::pair<minutes, minutes>;

    duration_range runTimeRange(job_category category)
    {
        switch (category) {
        case job_category::LargeGang:
            return { minutes(120), minutes(540) };
        case job_category::MediumGang:
            return { minutes(60), minutes(480) };
        case job_category::Small:
            return { minutes(3), minutes(40) };
        case job_category::Urgent:
            return { minutes(1), minutes(15) };
        case job_category::Batch:
            return { minutes(30), minutes(300) };
        }
        return { minutes(1), minutes(1) };
    }

    std::int32_t drawTaskCount(job_category category, random_source& random)
    {
        switch (category) {
        case job_category::LargeGang:
            return random.chance(400) ? 32 : static_cast<std::int32_t>(random.between(33, 64));
        case job_category::MediumGang:
            return static_cast<std::int32_t>(random.between(8, 24));
        case job_category::Small:
        case job_category::Urgent:
            return static_cast<std::int32_t>(random.between(1, 4));
        case job_category::Batch:
            return static_cast<std::int32_t>(random.between(1, 12));
        }
        return 1;
    }

    adjacency drawPlacement(job_category category, std::int32_t taskCount, random_source& random)
    {
        switch (category) {
        case job_category::LargeGang:
            return taskCount == 32 && random.chance(300) ? adjacency::Rack : adjacency::AdjacentRacks;
        case job_category::MediumGang:
            return random.chance(500) ? adjacency::Rack : adjacency::AdjacentRacks;
        case job_category::Small:
            return taskCount == 1 || random.chance(300) ? adjacency::Worker : adjacency::Any;
        case job_category::Urgent:
        case job_category::Batch:
            return adjacency::Any;
        }
        return adjacency::Any;
    }

    // The demand for cores and memory per accelerator is below the worker's share for most jobs and above it for
    // some, which leaves accelerators without cores.
    resources drawDemand(const profile& site, job_category category, random_source& random)
    {
        constexpr std::array<std::int32_t, 3> choices { 1, 2, 4 };
        auto accelerators = choices.at(random.pick(site.acceleratorWeights));
        const bool isGang = category == job_category::LargeGang || category == job_category::MediumGang;
        if (isGang)
            accelerators = std::min(accelerators, 2);
        const auto millicoresPerAccelerator = site.workerCapacity.millicores / site.workerCapacity.accelerators;
        const auto memoryPerAccelerator = site.workerCapacity.memoryMb / site.workerCapacity.accelerators;
        constexpr std::array<std::int32_t, 3> coreWeights { 20, 70, 10 };
        constexpr std::array<std::int32_t, 3> coreShares { 50, 80, 120 };
        const auto cores = millicoresPerAccelerator * coreShares.at(random.pick(coreWeights)) / 100;
        const auto memory = memoryPerAccelerator * (random.chance(50) ? 125 : 75) / 100;
        return { .accelerators = accelerators, .millicores = accelerators * cores, .memoryMb = accelerators * memory };
    }

    std::int64_t checkpointablePermille(job_category category)
    {
        constexpr std::array<std::int64_t, categoryCount> shares { 700, 600, 200, 0, 500 };
        return shares.at(static_cast<std::size_t>(category));
    }

    log_time drawSubmission(const profile& site, job_category category, random_source& random)
    {
        const bool isGang = category == job_category::LargeGang || category == job_category::MediumGang;
        const auto dayStart = day * random.below(site.days);
        if (isGang && random.chance(overnightPermille))
            return log_time(dayStart + hours(16) + log_duration(random.below(log_duration(hours(7)).count())));
        return log_time(dayStart + log_duration(random.below(day.count())));
    }

    job_class classOf(job_category category)
    {
        if (category == job_category::Urgent)
            return job_class::Urgent;
        return category == job_category::Batch ? job_class::Batch : job_class::Standard;
    }

    // Relaxes an adjacency that the gang could not meet even on empty workers or racks.
    void relaxPlacement(const profile& site, job_spec& spec)
    {
        const auto perWorker = tasksThatFit(site.workerCapacity, spec.perTask);
        if (spec.placement == adjacency::Worker && spec.taskCount > perWorker)
            spec.placement = adjacency::Any;
        if (spec.placement == adjacency::Rack && spec.taskCount > perWorker * site.workersPerRack)
            spec.placement = adjacency::AdjacentRacks;
    }

    stream_job drawJob(const profile& site, job_category category, log_time submittedAt, random_source& random)
    {
        stream_job job { .category = category, .submittedAt = submittedAt };
        auto& spec = job.spec;
        const auto& workspace = site.workspaces.at(random.pick(site.workspaceWeights));
        spec.workspace = workspace.name;
        if (!workspace.teams.empty())
            spec.team = workspace.teams.at(random.below(static_cast<std::int64_t>(workspace.teams.size()))).team;
        spec.kind
            = std::string(categoryNames.at(static_cast<std::size_t>(category))) + (random.chance(500) ? "_a" : "_b");
        spec.jobClass = classOf(category);
        spec.taskCount = drawTaskCount(category, random);
        spec.perTask = drawDemand(site, category, random);
        spec.placement = drawPlacement(category, spec.taskCount, random);
        spec.preemptible = category != job_category::Urgent && !(category == job_category::Small && random.chance(100));
        spec.checkpointable = random.chance(checkpointablePermille(category));
        relaxPlacement(site, spec);
        const auto [shortest, longest] = runTimeRange(category);
        job.trueRunTime = log_duration(random.between(log_duration(shortest).count(), log_duration(longest).count()));
        job.checkpointTime
            = std::chrono::milliseconds(random.chance(800) ? random.between(500, 1800) : random.between(2000, 4000));
        return job;
    }

    void makeImpossible(stream_job& job, random_source& random)
    {
        job.canRun = false;
        switch (random.below(3)) {
        case 0:
            job.spec.perTask.accelerators = 16;
            break;
        case 1:
            job.spec.perTask.accelerators = 2;
            job.spec.taskCount = 64;
            job.spec.placement = adjacency::Rack;
            break;
        default:
            job.spec.perTask.memoryMb = 1024 * 1024;
            break;
        }
    }

    // Each wave cancels half of the jobs of the preceding hours at the same time. A burst of small and batch jobs
    // precedes it, as when a caller submits jobs by mistake.
    void addCancelWaves(event_stream& stream, random_source& random)
    {
        const auto& site = stream.site;
        const auto waves = std::max(1, site.days / 2);
        for (std::int32_t wave = 0; wave < waves; ++wave) {
            const auto at = log_time(day * site.days * (wave * 2 + 1) / (waves * 2) + minutes(random.below(8 * 60)));
            const auto burst = site.jobsPerDay / 6;
            for (std::int32_t i = 0; i < burst; ++i) {
                const auto category = random.chance(500) ? job_category::Small : job_category::Batch;
                stream.jobs.push_back(drawJob(site, category, at - minutes(random.between(5, 30)), random));
            }
            for (auto& job : stream.jobs) {
                const bool isRecent = job.submittedAt < at && at - job.submittedAt < hours(6);
                if (isRecent && !job.cancelAt && random.chance(500))
                    job.cancelAt = at;
            }
        }
    }

    void addJobs(event_stream& stream, random_source& random)
    {
        const auto& site = stream.site;
        const auto count = static_cast<std::int64_t>(site.jobsPerDay) * site.days * stream.loadPermille / 900;
        for (std::int64_t i = 0; i < count; ++i) {
            const auto category = static_cast<job_category>(random.pick(site.categoryWeights));
            stream.jobs.push_back(drawJob(site, category, drawSubmission(site, category, random), random));
        }
        addCancelWaves(stream, random);
        for (auto& job : stream.jobs) {
            if (random.chance(impossiblePermille)) {
                makeImpossible(job, random);
            } else if (random.chance(alwaysFailsPermille)) {
                job.canRun = false;
                job.alwaysFails = true;
            }
        }
    }

    // Returns the work that a job offers, in accelerator milliseconds: that of its run time, or of the time from its
    // submission to its cancellation if that is shorter.
    std::int64_t workOf(const stream_job& job)
    {
        if (!job.canRun)
            return 0;
        const auto time = job.cancelAt ? std::min(job.trueRunTime, *job.cancelAt - job.submittedAt) : job.trueRunTime;
        return acceleratorsOf(job.spec) * std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    // Multiplies the run times by one factor, so that the offered work is the target share of the capacity.
    void scaleRunTimes(event_stream& stream)
    {
        const auto& site = stream.site;
        std::int64_t offered = 0;
        for (const auto& job : stream.jobs)
            offered += workOf(job);
        const auto periodMs = std::chrono::duration_cast<std::chrono::milliseconds>(day * site.days).count();
        const auto capacity = periodMs * site.workers * site.workerCapacity.accelerators;
        const auto targetWork = capacity / 1000 * stream.loadPermille;
        const auto factorPermille = targetWork / (offered / 1000);
        for (auto& job : stream.jobs)
            job.trueRunTime = job.trueRunTime * factorPermille / 1000;
    }

    // The error of the declared run time has a bias that is the same for all jobs of a workspace and kind, which a
    // scheduler can learn, and a random part for each job.
    void declareRunTime(const event_stream& stream, stream_job& job, random_source& random)
    {
        constexpr std::array<std::int64_t, 4> biasPercent { 33, 100, 100, 220 };
        const auto workspaceNumber
            = static_cast<std::uint64_t>(job.spec.workspace.front()) * 31 + job.spec.workspace.back();
        const auto kindNumber = static_cast<std::uint64_t>(job.category) * 2 + (job.spec.kind.back() == 'a' ? 1 : 0);
        const auto bias = biasPercent.at(mixHash(stream.seed, workspaceNumber, kindNumber) % biasPercent.size());
        std::int64_t jobPercent = random.between(80, 125);
        if (random.chance(200))
            jobPercent = random.between(20, 60);
        else if (random.chance(250))
            jobPercent = random.between(150, 500);
        job.spec.declaredRunTime = std::max<log_duration>(job.trueRunTime * bias * jobPercent / 10'000, minutes(1));
    }

    void setDeadline(stream_job& job, random_source& random)
    {
        const auto run = job.trueRunTime;
        const auto submittedAt = job.submittedAt;
        switch (job.category) {
        case job_category::LargeGang:
        case job_category::MediumGang: {
            const auto timeOfDay = submittedAt.time_since_epoch() % day;
            const auto morning = submittedAt - timeOfDay + day + hours(6);
            if (timeOfDay >= hours(16) && submittedAt + run * 13 / 10 <= morning)
                job.spec.deadline = morning;
            else
                job.spec.deadline = submittedAt + run * random.between(15, 50) / 10 + minutes(30);
            break;
        }
        case job_category::Small:
            if (random.chance(600))
                job.spec.deadline = submittedAt + run * 3 + minutes(random.between(60, 240));
            break;
        case job_category::Urgent:
            job.spec.deadline = submittedAt + run * 2 + minutes(10);
            break;
        case job_category::Batch:
            break;
        }
    }

    void finishJobs(event_stream& stream, random_source& random)
    {
        std::stable_sort(stream.jobs.begin(), stream.jobs.end(),
            [](const stream_job& a, const stream_job& b) { return a.submittedAt < b.submittedAt; });
        for (std::size_t i = 0; i < stream.jobs.size(); ++i) {
            auto& job = stream.jobs[i];
            job.spec.clientKey = "key" + std::to_string(i);
            declareRunTime(stream, job, random);
            setDeadline(job, random);
        }
    }

} // namespace

event_stream generateStream(const profile& site, std::int32_t loadPermille, std::uint64_t seed)
{
    assert(loadPermille > 0);
    event_stream stream { .site = site, .loadPermille = loadPermille, .seed = seed };
    stream.endOfSubmissions = log_time(day * site.days);
    for (std::int32_t i = 0; i < site.workers; ++i)
        stream.workers.push_back({ .name = "worker" + std::to_string(i), .rackPosition = i / site.workersPerRack });

    std::uint64_t siteNumber = 0;
    for (const auto letter : site.name)
        siteNumber = mixHash(siteNumber, static_cast<std::uint64_t>(letter), 0);

    // Faults and jobs have separate random sources, so that a change to one does not change the other.
    random_source faultRandom(mixHash(siteNumber, seed, 2 * static_cast<std::uint64_t>(loadPermille)));
    stream.faults = generateFaults(stream, faultRandom);
    random_source jobRandom(mixHash(siteNumber, seed, 2 * static_cast<std::uint64_t>(loadPermille) + 1));
    addJobs(stream, jobRandom);
    scaleRunTimes(stream);
    finishJobs(stream, jobRandom);
    return stream;
}

} // namespace chervilport::policy_benchmark
