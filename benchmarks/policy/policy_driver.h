#pragma once

#include "benchmarks/policy/event_stream.h"
#include "benchmarks/policy/run_record.h"
#include "benchmarks/policy/scheduler.h"
#include "benchmarks/policy/worker_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace chervilport::policy_benchmark {

/// Replays a stream against a scheduler on a virtual clock and simulates its workers. Throws rule_violation if the
/// scheduler overcommits a worker, lets a gang run partially for longer than the start timeout, runs two attempts of a
/// job at once, violates an adjacency, or reports success of a job that has not completed.
class policy_driver {
public:
    /// Prepares a run; both arguments must outlive the driver.
    policy_driver(const event_stream&, const scheduler&);

    /// Replays the stream until every job is closed or the time limit has passed.
    run_record run();

private:
    enum class action_kind : std::uint8_t {
        Submit,
        Cancel,
        FaultBegin,
        FaultEnd,
        LeaseExpired,
        ConfirmStart,
        FailStart,
        EndGang,
        EndTask,
        ConfirmStop,
        ConfirmUnknownStop,
        ReportUsage,
        CheckNotPartial,
        Timer,
        SampleFleet,
        SampleState,
    };

    // A future action; its kind determines which of the numbers are used.
    struct action {
        log_time at;
        std::uint64_t sequence = 0;
        action_kind kind = action_kind::Timer;
        std::size_t index = 0;
        std::size_t job = 0;
        std::int32_t attempt = 0;
        std::int32_t rank = 0;
        std::uint64_t generation = 0;
        bool isCheckpointed = false;
    };

    struct is_later {
        bool operator()(const action& a, const action& b) const
        {
            return std::pair(a.at, a.sequence) > std::pair(b.at, b.sequence);
        }
    };

    // Queue of actions.
    void enqueue(action);
    void enqueueStream();
    void perform(const action&);
    void apply(const event&);
    bool isFinished() const;

    // Handlers of commands.
    void handle(const start_task&);
    void handle(const stop_task&);
    void handle(const throttle_task&) { }
    void handle(const job_accepted&);
    void handle(const job_refused&);
    void handle(const job_changed&);
    void handle(const worker_quarantine_changed&) { }
    void handle(const guarantee_shortfall_changed&) { }
    void handle(const wake_at&);

    // Actions.
    void submit(std::size_t job);
    void cancel(std::size_t job);
    void beginFault(std::size_t fault);
    void endFault(std::size_t fault);
    void crashWorker(std::size_t worker, log_time until);
    void joinWorker(std::size_t worker);
    void loseWorker(std::size_t worker);
    void removeWorkerTasks(std::size_t worker);
    void confirmStart(const action&);
    void failStart(const action&);
    void endGang(const action&);
    void endTask(const action&);
    void confirmStop(const action&);
    void confirmUnknownStop(const action&);
    void reportUsage(const action&);
    void fireTimer(const action&);

    // Helpers.
    live_task* findTask(live_attempt*, std::int32_t rank, std::uint64_t generation);
    void endProgress(live_attempt&);
    void removeTask(live_attempt&, std::size_t rank);
    void closeAttempt(live_attempt&);
    void closeJob(std::size_t job);
    std::size_t jobIndex(job_id) const;
    // Throws a rule_violation with the virtual time.
    [[noreturn]] void fail(const std::string& what) const;

    const event_stream& m_stream;
    const scheduler& m_scheduler;
    worker_model m_workers;
    std::priority_queue<action, std::vector<action>, is_later> m_actions;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastGeneration = 0;
    log_time m_now;
    run_record m_record;
    // Position in the stream by id of each accepted job, and the id by position.
    std::map<job_id, std::size_t> m_jobById;
    std::vector<std::optional<job_id>> m_ids;
    // Run time saved by the last complete checkpoint of each job.
    std::vector<log_duration> m_checkpointedWork;
    // Work lost by the last attempt of each job that the scheduler stopped, in accelerator milliseconds.
    std::vector<std::int64_t> m_lastLostWork;
    std::map<std::string, std::int64_t> m_openAccelerators;
    std::map<std::string, std::int64_t> m_guaranteed;
    std::size_t m_openJobs = 0;
    std::size_t m_submitted = 0;
    std::uint64_t m_timerGeneration = 0;
    std::int32_t m_timersAtSameTime = 0;
    shape m_largestShape;
    // Attempts that the commands of the current event start.
    std::set<std::pair<std::size_t, std::int32_t>> m_startedAttempts;
};

} // namespace chervilport::policy_benchmark
