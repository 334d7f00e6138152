#include "cases.h"
#include "setup.h"

#include <csignal>
#include <thread>

namespace review {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t executors = 4;
    constexpr unsigned jobs = 5;
    /// Clients that stay, at other entry machines: a quarter of all leave.
    constexpr unsigned stayingClients = 15;
    constexpr std::chrono::milliseconds work { 8'500 };
    /// Length of the freeze as in the site file, and the time after which the clients leave, half of their objective.
    constexpr std::chrono::milliseconds freezeTime { 3'500 };
    constexpr std::chrono::milliseconds patience { 125 };
    /// Bound of the site.
    constexpr std::chrono::milliseconds cancelTime { 3'000 };

    /// Hands in a job at the first entry machine, leaves without an answer, and cancels the job at the second one.
    /// Returns the time of the acknowledgement of the cancelling, or -1.
    std::int64_t handInAndCancel(record& written, const site& machines, const std::string& id)
    {
        const auto queue = testQueue();
        const std::map<std::string, std::string> headers { { "host", queue.host }, { "api-key", queue.key },
            { "x-chervilport-deadline-ms", "3000" } };
        written.write("client POST " + id + " to " + machines.front(0).ip);
        const auto answer = call(machines.front(0),
            { "POST", queue.prefix + id, headers, makeJob(1, static_cast<int>(work.count())) }, patience);
        written.write("client POST " + id
            + (answer.status == 0 ? std::string(" left without an answer")
                                  : " answered " + std::to_string(answer.status)));
        const auto cancelled = callEntry(written, machines.front(1), queue, "DELETE", id, {});
        const bool isAcknowledged = cancelled.status == 410 || (cancelled.status >= 200 && cancelled.status < 300);
        return isAcknowledged ? written.nowMs() : -1;
    }

    /// A job and when the acknowledgement of its cancelling arrived.
    struct cancelled_job {
        std::string id;
        std::int64_t acknowledgedMs = -1;
        std::size_t startsBefore = 0;
    };

    std::size_t countStarts(const std::vector<std::unique_ptr<worker>>& pool, const std::string& id)
    {
        std::size_t starts = 0;
        for (const auto& each : pool)
            starts += each->startsOf(id);
        return starts;
    }

} // namespace

verdict runCase9(const std::string& folder, const std::string& recordFile, bool isTroubled)
{
    record written(recordFile);
    run_board board(written);
    site machines(folder);
    machines.startAll();
    const auto pool = startWorkers(machines, executors, work, written, board);
    if (!prepare(written, machines))
        return verdict::CouldNotRun;
    if (isTroubled) {
        written.write("entry-0 freezes");
        machines.entry(0).signal(SIGSTOP);
    }
    const auto begin = std::chrono::steady_clock::now();
    std::vector<cancelled_job> cancelled(jobs);
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < jobs; ++i) {
        clients.emplace_back([&, i] {
            cancelled[i].id = jobId(1, i);
            cancelled[i].acknowledgedMs = handInAndCancel(written, machines, cancelled[i].id);
        });
    }
    for (unsigned i = 0; i < stayingClients; ++i) {
        clients.emplace_back([&, i] {
            submit(written, machines, testQueue(), 1 + i % (site::entryMachines - 1), jobId(2, i),
                makeJob(1, static_cast<int>(work.count())));
        });
    }
    for (auto& each : clients)
        each.join();
    // Every start from here on comes later than `cancel_ms` after the acknowledgement.
    std::this_thread::sleep_for(cancelTime);
    for (auto& each : cancelled)
        each.startsBefore = countStarts(pool, each.id);
    written.write("cancel_ms (3 s) after the last acknowledgement");
    std::this_thread::sleep_until(begin + freezeTime);
    if (isTroubled) {
        written.write("entry-0 wakes");
        machines.entry(0).signal(SIGCONT);
    }
    std::this_thread::sleep_for(15s);
    std::size_t late = 0;
    for (const auto& each : cancelled) {
        const auto state = stateOf(written, machines, testQueue(), each.id);
        if (each.acknowledgedMs < 0 || countStarts(pool, each.id) == each.startsBefore)
            continue;
        ++late;
        written.write("UNASKED job " + each.id + " was started after its cancelling had been acknowledged at "
            + std::to_string(each.acknowledgedMs) + " ms, state " + state.value_or("no answer"));
    }
    written.write("end: " + std::to_string(jobs) + " jobs cancelled, " + std::to_string(late)
        + " started later than cancel_ms after the acknowledgement, processes ended by themselves:"
        + machines.endedProcesses());
    return late > 0 ? verdict::Broken : verdict::Held;
}

} // namespace review
