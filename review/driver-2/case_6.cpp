#include "cases.h"
#include "setup.h"

#include <mutex>
#include <thread>

namespace review {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t executors = 8;
    constexpr unsigned rounds = 12;
    constexpr unsigned jobsPerRound = 6;
    constexpr std::chrono::milliseconds work { 300 };
    constexpr std::chrono::seconds finishTime { 14 };

    /// Jobs that were answered with success.
    struct accepted_jobs {
        std::mutex mutex;
        std::vector<std::string> ids;
    };

    void handIn(record& written, const site& machines, unsigned round, unsigned number, accepted_jobs& accepted)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1 + 2 * number));
        const auto id = jobId(round, number);
        if (submit(written, machines, testQueue(), number, id, makeJob(1, work.count())) != submission::Accepted)
            return;
        const std::lock_guard lock(accepted.mutex);
        accepted.ids.push_back(id);
    }

    /// Clients hand in jobs while the operator removes the route and adds one with another name.
    void playRound(record& written, const site& machines, unsigned round, bool isTroubled, accepted_jobs& accepted)
    {
        std::vector<std::thread> threads;
        if (isTroubled)
            threads.emplace_back([&, round] {
                putConfig(written, machines, round, makeConfig(1 + round, "route-" + std::to_string(round)));
            });
        for (unsigned i = 0; i < jobsPerRound; ++i)
            threads.emplace_back([&, round, i] { handIn(written, machines, round, i, accepted); });
        for (auto& each : threads)
            each.join();
    }

    std::size_t countRunning(const std::vector<std::unique_ptr<worker>>& pool)
    {
        std::size_t running = 0;
        for (const auto& each : pool)
            running += each->running();
        return running;
    }

    /// Returns whether no executor runs anything for 3 s.
    bool isIdle(const std::vector<std::unique_ptr<worker>>& pool)
    {
        constexpr int samples = 300;
        for (int i = 0; i < samples; ++i) {
            if (countRunning(pool) > 0)
                return false;
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }

    /// Returns the number of accepted jobs that have never been started.
    std::size_t countLost(record& written, const site& machines, const std::vector<std::unique_ptr<worker>>& pool,
        const std::vector<std::string>& accepted)
    {
        std::size_t lost = 0;
        for (const auto& id : accepted) {
            std::size_t starts = 0;
            for (const auto& each : pool)
                starts += each->startsOf(id);
            const auto state = stateOf(written, machines, testQueue(), id);
            if (starts > 0)
                continue;
            ++lost;
            written.write("LOST job " + id + " accepted, no start, state " + state.value_or("no answer"));
        }
        return lost;
    }

} // namespace

verdict runCase6(const std::string& folder, const std::string& recordFile, bool isTroubled)
{
    record written(recordFile);
    run_board board(written);
    site machines(folder);
    machines.startAll();
    const auto pool = startWorkers(machines, executors, work, written, board);
    if (!prepare(written, machines))
        return verdict::CouldNotRun;
    accepted_jobs accepted;
    for (unsigned round = 1; round <= rounds; ++round) {
        playRound(written, machines, round, isTroubled, accepted);
        std::this_thread::sleep_for(1'500ms);
    }
    // After this time, a job with nothing running for 3 s is lost if the executors are idle.
    std::this_thread::sleep_for(finishTime);
    const bool wasIdle = isIdle(pool);
    const auto lost = countLost(written, machines, pool, accepted.ids);
    written.write("end: " + std::to_string(accepted.ids.size()) + " jobs accepted, " + std::to_string(lost)
        + " never started 14 s after the last one, all executors idle for 3 s: " + (wasIdle ? "yes" : "no")
        + ", processes ended by themselves:" + machines.endedProcesses());
    return wasIdle && lost > 0 ? verdict::Broken : verdict::Held;
}

} // namespace review
