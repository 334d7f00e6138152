#include "benchmarks/policy/fault_generator.h"

#include <algorithm>

namespace chervilport::policy_benchmark {

namespace {

    using std::chrono::hours;
    using std::chrono::minutes;
    using std::chrono::seconds;

    /// One of this many workers is lost and rejoins per day.
    constexpr std::int32_t workersPerDailyLoss = 25;

    bool overlaps(const stream_fault& a, const stream_fault& b)
    {
        // The margin leaves time to detect the loss and for the worker to rejoin.
        constexpr auto margin = minutes(5);
        if (a.until + margin < b.from || b.until + margin < a.from)
            return false;
        return std::any_of(a.workers.begin(), a.workers.end(), [&](std::size_t worker) {
            return std::find(b.workers.begin(), b.workers.end(), worker) != b.workers.end();
        });
    }

    void addUnlessOverlapping(std::vector<stream_fault>& faults, stream_fault fault)
    {
        for (const auto& other : faults) {
            if (overlaps(other, fault))
                return;
        }
        faults.push_back(std::move(fault));
    }

    log_time drawTime(
        const event_stream& stream, std::int64_t fromPercent, std::int64_t toPercent, random_source& random)
    {
        const auto period = stream.endOfSubmissions.time_since_epoch();
        return log_time(
            log_duration(random.between(period.count() * fromPercent / 100, period.count() * toPercent / 100)));
    }

    stream_fault domainOutage(const event_stream& stream, random_source& random)
    {
        stream_fault fault;
        for (std::size_t i = 0; i < stream.workers.size(); ++i)
            fault.workers.push_back(i);
        fault.from = drawTime(stream, 55, 65, random);
        fault.until = fault.from + minutes(random.between(15, 30));
        return fault;
    }

    stream_fault rackLoss(const event_stream& stream, random_source& random)
    {
        stream_fault fault;
        const auto rack = random.below(rackCount(stream.site));
        for (std::size_t i = 0; i < stream.workers.size(); ++i) {
            if (stream.workers[i].rackPosition == rack)
                fault.workers.push_back(i);
        }
        fault.from = drawTime(stream, 20, 45, random);
        fault.until = fault.from + minutes(random.between(180, 300));
        return fault;
    }

    // A third of the single losses are restarts that complete before the lease of the worker expires.
    stream_fault singleLoss(const event_stream& stream, random_source& random)
    {
        stream_fault fault;
        fault.workers = { static_cast<std::size_t>(random.below(static_cast<std::int64_t>(stream.workers.size()))) };
        fault.from = drawTime(stream, 1, 99, random);
        fault.until = fault.from
            + (random.chance(333) ? log_duration(seconds(random.between(4, 8)))
                                  : log_duration(minutes(random.between(10, 180))));
        return fault;
    }

    stream_fault failingWorker(const event_stream& stream, random_source& random)
    {
        stream_fault fault { .kind = fault_kind::FailsStarts };
        fault.workers = { static_cast<std::size_t>(random.below(static_cast<std::int64_t>(stream.workers.size()))) };
        fault.from = drawTime(stream, 5, 80, random);
        fault.until = fault.from + hours(6);
        return fault;
    }

} // namespace

std::vector<stream_fault> generateFaults(const event_stream& stream, random_source& random)
{
    std::vector<stream_fault> faults;
    if (stream.site.hasDomainOutage)
        faults.push_back(domainOutage(stream, random));
    addUnlessOverlapping(faults, rackLoss(stream, random));
    for (std::int32_t i = 0; i < std::max(1, stream.site.days / 2); ++i)
        addUnlessOverlapping(faults, failingWorker(stream, random));
    const auto losses = std::max(1, stream.site.workers * stream.site.days / workersPerDailyLoss);
    for (std::int32_t i = 0; i < losses; ++i)
        addUnlessOverlapping(faults, singleLoss(stream, random));
    std::stable_sort(
        faults.begin(), faults.end(), [](const stream_fault& a, const stream_fault& b) { return a.from < b.from; });
    return faults;
}

} // namespace chervilport::policy_benchmark
