#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/scheduling_pass.h"
#include "chervilport/consensus/replica.h"
#include "chervilport/control/command_queue.h"
#include "chervilport/control/gang_start_tracker.h"
#include "chervilport/control/node_settings.h"
#include "chervilport/control/speed_recorder.h"
#include "chervilport/control/wait_log.h"
#include "chervilport/control/worker_client.h"
#include "chervilport/control/worker_health.h"
#include "chervilport/control/worker_session.h"
#include "chervilport/core/repeating_timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace chervilport {

class metric_registry;

/// The jobs of a site. Applies the committed commands on every member of the control group. On the leader, it also
/// schedules tasks onto workers and keeps a session for each worker. All functions are called on the control thread.
class batch_controller : public std::enable_shared_from_this<batch_controller> {
public:
    /// Links to the replication group.
    struct group_link {
        /// Appends an encoded batch.
        command_queue::propose_function propose;
        /// Whether this instance is the leader and no other instance can be.
        std::function<bool()> mayExecute;
    };

    /// Creates a controller that is not the leader.
    batch_controller(
        asio::io_context&, const worker_bounds&, worker_client, group_link, std::shared_ptr<metric_registry>);
    ~batch_controller();

    /// Starts the timer.
    void start();

    /// Closes all sessions and stops the timers.
    void stop();

    /// Applies a committed batch.
    void apply(std::string_view payload);

    /// Returns the encoded replicated state.
    std::string takeSnapshot() const;

    /// Replaces the state by a decoded snapshot.
    void loadSnapshot(std::string_view);

    /// Steps down as leader and clears the state, before it is loaded again from storage.
    void reset();

    /// Takes over leadership or steps down, as the status of the replica says.
    void handleStatus(const replica_status&);

    /// Returns the replicated state.
    const batch::batch_state& state() const { return m_state; }

    /// Sets the gauges of the jobs and workers.
    void recordGauges() const;

    /// Returns the metric registry of the process.
    metric_registry& metrics() const { return *m_metrics; }

    /// Proposes a changed report of a worker, after the crash of each worker that it replaces; leader only.
    void proposeReport(batch::worker_report, command_queue::callback);

    /// Returns the number of accepted jobs of a queue of which no task is known to have started; leader only.
    std::size_t countPendingJobs(const batch::queue_config&) const;

    /// Returns whether a worker can have left as planned: its recorded incarnation drains, and for as long as it said
    /// at least. Leader only.
    bool canHaveLeft(const batch::worker_record&) const;

    /// Proposes the ends that a worker lists which says that it leaves, and calls `done` after that, with whether no
    /// further ends can be read from it; leader only.
    void collectLastEnds(const batch::worker_record&, std::function<void(bool)> done);

    /// Proposes a command; leader only.
    void propose(batch::batch_command, command_queue::callback);

private:
    struct timer;

    void becomeLeader(std::uint64_t term);
    void stepDown();
    void tick();
    void updateSessions();
    void recordDrains(const batch::command_batch&);
    void stopEndedJobs();
    void abortGangs(const batch::command_batch&);
    void stopGang(const gang_run&, loss_cause);
    loss_cause lossCauseOf(const batch::run_ended&) const;
    void removeEndedPaces(const batch::command_batch&);
    void recordProgress(batch::pace_sample);
    void recordStartedRun(const batch::run_ref&);
    void requestPass();
    void runPass();
    void observeStart(const batch::run_assigned&);
    void startAssigned(const batch::command_batch&);
    std::map<batch::worker_number, batch::worker_condition> conditions() const;
    session_host makeHost(batch::worker_number);

    asio::io_context& m_context;
    worker_bounds m_bounds;
    worker_client m_client;
    group_link m_link;
    std::shared_ptr<metric_registry> m_metrics;
    repeating_timer m_tick;
    std::unique_ptr<timer> m_timer;
    batch::batch_state m_state;
    std::shared_ptr<command_queue> m_queue;
    std::map<batch::worker_number, std::shared_ptr<worker_session>> m_sessions;
    std::map<batch::worker_number, worker_health> m_health;
    batch::scheduler_state m_schedulerState;
    speed_recorder m_speedRecorder;
    gang_start_tracker m_gangs;
    wait_log m_waits;
    std::uint64_t m_term = 0;
    /// Last epoch of a fencing token in this term.
    std::uint64_t m_lastEpoch = 0;
    log_time m_leaseEnd;
    /// Time that the last scheduling pass took.
    log_duration m_lastPassTime {};
    std::size_t m_pendingAssignments = 0;
    bool m_leading = false;
    bool m_passRequested = false;
    bool m_stopped = false;
};

} // namespace chervilport
