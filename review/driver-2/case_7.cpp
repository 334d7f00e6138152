#include "cases.h"
#include "setup.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr std::size_t executors = 6;
    constexpr unsigned jobs = 6;
    constexpr int tasksPerJob = 4;
    constexpr std::size_t foreignHeartbeats = 3;
    constexpr std::chrono::milliseconds work { 6'000 };

    /// Sends a heartbeat of another writer: it names the address of an executor that is in use, and its `clock_ms` is a
    /// text. Such a heartbeat names no executor to use.
    void sendForeignHeartbeat(record& written, const site& machines, const worker& named, std::size_t number)
    {
        const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        json body { { "service", "dispatch" }, { "address", toText(named.address()) }, { "zone", "zone-0" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 },
            { "labels", { "a", "r-0" } }, { "clock_ms", "482113" }, { "born", born.count() }, { "seq", 4 } };
        body["capacity"] = { { "cpu", 16'000 }, { "mem_mb", 32'768 }, { "gpu", 0 } };
        const auto path = "/v1/instances/i-foreign-" + std::to_string(number);
        written.write("foreign heartbeat PUT " + path + ' ' + body.dump());
        const auto answer
            = call(machines.control(number % site::controlMachines), { "PUT", path, {}, body.dump() }, 1'000ms);
        written.write("foreign heartbeat answered " + std::to_string(answer.status) + ' ' + answer.body.substr(0, 80));
    }

    bool waitForRuns(const std::vector<std::unique_ptr<worker>>& pool, std::size_t wanted)
    {
        constexpr int polls = 100;
        for (int i = 0; i < polls; ++i) {
            std::size_t running = 0;
            for (const auto& each : pool)
                running += each->running();
            if (running >= wanted)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

} // namespace

verdict runCase7(const std::string& folder, const std::string& recordFile, bool isTroubled)
{
    record written(recordFile);
    run_board board(written);
    site machines(folder);
    machines.startAll();
    const auto pool = startWorkers(machines, executors, work, written, board);
    if (!prepare(written, machines))
        return verdict::CouldNotRun;
    for (unsigned i = 0; i < jobs; ++i) {
        if (submit(written, machines, testQueue(), i, jobId(1, i), makeJob(tasksPerJob, work.count()))
            != submission::Accepted)
            return verdict::CouldNotRun;
    }
    if (!waitForRuns(pool, std::size_t { jobs } * tasksPerJob))
        return verdict::CouldNotRun;
    std::this_thread::sleep_for(1s);
    std::size_t sent = 0;
    for (std::size_t i = 0; isTroubled && i < executors && sent < foreignHeartbeats; ++i) {
        if (pool[i]->running() > 0)
            sendForeignHeartbeat(written, machines, *pool[i], sent++);
    }
    std::this_thread::sleep_for(20s);
    for (unsigned i = 0; i < jobs; ++i)
        stateOf(written, machines, testQueue(), jobId(1, i));
    written.write("end: " + std::to_string(sent) + " foreign heartbeats, " + std::to_string(board.overlaps())
        + " tasks began while they ran on another executor, processes ended by themselves:"
        + machines.endedProcesses());
    return board.overlaps() > 0 ? verdict::Broken : verdict::Held;
}

} // namespace review
