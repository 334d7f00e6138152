#include "cases.h"
#include "links.h"
#include "setup.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr std::size_t executors = 9;
    constexpr std::chrono::milliseconds work { 300 };
    constexpr std::chrono::milliseconds cutTime { 5'500 };
    constexpr std::chrono::milliseconds evacuationTime { 2'500 };
    constexpr std::chrono::milliseconds operatorTimeout { 1'000 };
    constexpr std::chrono::seconds finishTime { 14 };
    constexpr const char* zone = "zone-1";

    /// Sends an order to one control machine after the other until it is acknowledged. Returns whether it was.
    bool order(record& written, const site& machines, std::size_t first, const std::string& method)
    {
        constexpr std::size_t attempts = 6;
        for (std::size_t i = 0; i < attempts; ++i) {
            const auto target = machines.control((first + i) % site::controlMachines);
            const std::string path = std::string("/v1/evacuations/").append(zone);
            const auto name = std::string("operator ").append(method).append(" ").append(path);
            written.write(name + " to " + target.ip);
            const auto answer = call(target, { method, path, {}, {} }, operatorTimeout);
            written.write(name + " answered " + std::to_string(answer.status));
            if (answer.status >= 200 && answer.status < 300)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(100) * (i + 1));
        }
        return false;
    }

    /// Executors of the zone are of the kind `b`, all others of the kind `a`.
    std::vector<std::unique_ptr<worker>> startWorkersOfTwoKinds(const site& machines, record& written, run_board& board)
    {
        std::vector<std::unique_ptr<worker>> pool;
        for (std::size_t i = 0; i < executors; ++i) {
            auto settings = workerSettings(machines, i);
            settings.kind = settings.zone == zone ? "b" : "a";
            settings.work = work;
            pool.push_back(std::make_unique<worker>(settings, written, board));
        }
        return pool;
    }

    /// A job that only an executor of the zone can run.
    std::string makeJobOfZone()
    {
        auto job = json::parse(makeJob(2, work.count()));
        job["steps"][0]["required_label"] = "b";
        return job.dump();
    }

} // namespace

verdict runCase8(const std::string& folder, const std::string& recordFile, bool isTroubled)
{
    record written(recordFile);
    run_board board(written);
    site machines(folder, true);
    machines.startAll();
    links network(machines);
    const auto pool = startWorkersOfTwoKinds(machines, written, board);
    if (!prepare(written, machines))
        return verdict::CouldNotRun;
    const int leader = machines.leader();
    if (leader < 0)
        return verdict::CouldNotRun;
    const auto follower = (static_cast<std::size_t>(leader) + 1) % site::controlMachines;
    if (isTroubled) {
        written.write("core-" + std::to_string(follower) + " is cut off from the other control machines");
        network.cut(static_cast<int>(follower));
    }
    const auto begin = std::chrono::steady_clock::now();
    bool isAcknowledged = order(written, machines, follower, "POST");
    std::this_thread::sleep_for(evacuationTime);
    isAcknowledged = order(written, machines, static_cast<std::size_t>(leader), "DELETE") && isAcknowledged;
    if (!isAcknowledged)
        return verdict::CouldNotRun;
    std::this_thread::sleep_until(begin + cutTime);
    if (isTroubled) {
        written.write("the cut ends");
        network.cut(-1);
    }
    // The zone was taken back and acknowledged seconds ago.
    std::this_thread::sleep_for(4s);
    const auto id = jobId(1, 1);
    if (submit(written, machines, testQueue(), 0, id, makeJobOfZone()) != submission::Accepted)
        return verdict::CouldNotRun;
    std::this_thread::sleep_for(finishTime);
    std::size_t starts = 0;
    for (const auto& each : pool)
        starts += each->startsOf(id);
    const auto state = stateOf(written, machines, testQueue(), id);
    written.write("end: job " + id + " has " + std::to_string(starts) + " starts 14 s after it was accepted, state "
        + state.value_or("no answer") + ", processes ended by themselves:" + machines.endedProcesses());
    return starts == 0 ? verdict::Broken : verdict::Held;
}

} // namespace review
