#pragma once

#include "chervilport/batch/task_ref.h"
#include "chervilport/control/batch_controller.h"
#include "chervilport/control/worker_client.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilport::control_tests {

/// A leader with a pool of workers. Proposals are committed at once. A run of a deadly task ends the worker that starts
/// it: polls of that worker fail, and another worker then reports from its address.
class fake_pool {
public:
    /// Creates a leader with this many workers of 8 accelerators.
    explicit fake_pool(int workers);
    ~fake_pool();

    fake_pool(const fake_pool&) = delete;
    fake_pool& operator=(const fake_pool&) = delete;

    /// Submits a job of one step with this many tasks, each with these accelerators.
    void submit(const std::string& job, std::uint32_t tasks, std::int64_t accelerators);

    /// Makes a task crash each worker that starts it.
    void makeDeadly(const batch::task_ref& task) { m_deadly.insert(task); }

    /// Makes a task crash each worker that starts it before the worker has responded to the start request.
    void makeDeadlyBeforeResponse(const batch::task_ref& task) { m_deadlyBeforeResponse.insert(task); }

    /// Runs the leader until the condition holds. Returns whether it did so within `maxTurns` turns of the event loop.
    bool runUntil(const std::function<bool()>& condition);

    /// Replaces the leader by one of a higher term that knows only the replicated state.
    void changeLeader();

    /// Ends a worker; another one reports from its address when the leader runs next.
    void crash(const std::string& worker);

    /// Returns the id of the worker where the run of a task was started last; empty before the first start.
    std::string workerOf(const batch::task_ref& task) const;

    /// Returns how often a task was started.
    int startsOf(const batch::task_ref& task) const;

    /// Returns the job with this id.
    const batch::job_record& job(const std::string& id) const { return m_jobs->state().jobs.at(id); }

private:
    struct worker;

    worker_client makeClient();
    void makeLeader();
    void report(int address);
    void runOnce();

    asio::io_context m_context;
    std::map<std::string, std::unique_ptr<worker>> m_workers;
    std::set<batch::task_ref> m_deadly;
    std::set<batch::task_ref> m_deadlyBeforeResponse;
    std::vector<start_request> m_starts;
    std::vector<std::string> m_startedOn;
    std::vector<int> m_crashed;
    std::shared_ptr<batch_controller> m_jobs;
    std::uint64_t m_term = 0;
    int m_incarnations = 0;
};

} // namespace chervilport::control_tests
