#pragma once

#include "chervilport/control/batch_controller.h"
#include "chervilport/control/election_watch.h"
#include "chervilport/control/leader_relay.h"
#include "chervilport/control/member_watch.h"
#include "chervilport/control/node_settings.h"
#include "chervilport/control/poll_limit.h"
#include "chervilport/control/report_admission.h"
#include "chervilport/control/worker_client.h"
#include "chervilport/core/repeating_timer.h"
#include "chervilport/instance/control_call.h"
#include "chervilport/instance/replica_group.h"

#include <functional>
#include <map>
#include <memory>

namespace asio {
class io_context;
}

namespace chervilport {

class instance_storage;
class peer_network;

/// An instance of the control group: a replica of the job state that can become the leader. All functions are called on
/// the control thread.
class control_node : public std::enable_shared_from_this<control_node> {
public:
    /// Serves a call on the leader.
    using serve_function = std::function<void(std::shared_ptr<control_call>)>;

    /// Creates an instance that is not started. Throws chervilport_error `StorageFailure`.
    control_node(
        asio::io_context&, const node_settings&, worker_client, serve_function, std::shared_ptr<metric_registry>);
    ~control_node();

    /// Loads the state, listens for other instances and joins the group. Throws chervilport_error.
    void start();

    /// Replaces the seeds.
    void setSeeds(const std::vector<peer_address>&);

    /// Transfers leadership, if this instance is the leader, and calls `done` when it no longer leads or the transfer
    /// timed out.
    void prepareStop(std::function<void()> done);

    /// Stops the replica, the relay, the worker sessions and the network.
    void stop();

    /// Serves a call locally when this instance leads; otherwise relays it to the leader. `name` identifies it in the
    /// log.
    void dispatch(std::shared_ptr<control_call>, std::string name);

    /// Responds to a worker's report with `known` when the report would not change the local replicated state, which
    /// spares a call to the leader; otherwise like `dispatch`, a bounded number at a time.
    void dispatchReport(const batch::worker_report&, const std::shared_ptr<control_call>&, std::string name,
        const std::function<http_response()>& known);

    /// Returns whether this instance is the leader, has applied all committed entries, and no other instance can lead.
    bool mayServe() const;

    /// Returns the IPv4 address of the member that a worker should report to, if it is known and is another instance.
    std::optional<std::string> reportIp(std::string_view worker) const;

    /// Sets the gauges of the replica and its jobs.
    void recordGauges();

    /// Returns the controller of the jobs.
    batch_controller& jobs() { return *m_jobs; }

private:
    struct timer;

    std::shared_ptr<replica_group> makeGroup();
    void restoreAfterFailure(log_time now);
    void serveFromPeer(const std::shared_ptr<control_call>&);
    bool serveClusterCall(const std::shared_ptr<control_call>&);
    http_response admit(const member& joining);
    cluster_status describe() const;
    void handleStatus(const replica_status&);
    void updatePeers();
    std::optional<std::string> leaderIp() const;
    std::vector<member_id> reachableVoters() const;
    void takeUpReports();
    void tick();
    void logAbsence(log_time now);
    void joinIfNeeded(log_time now);
    void removeDisconnected(log_time now);

    asio::io_context& m_context;
    node_settings m_settings;
    serve_function m_serve;
    repeating_timer m_tick;
    std::unique_ptr<timer> m_timer;
    std::unique_ptr<instance_storage> m_storage;
    std::shared_ptr<peer_network> m_network;
    std::shared_ptr<replica_group> m_group;
    std::shared_ptr<poll_limit> m_polls;
    std::shared_ptr<batch_controller> m_jobs;
    std::shared_ptr<leader_relay> m_relay;
    std::vector<peer_address> m_peers;
    /// Peers without a connection, with the time since when.
    member_watch m_watch;
    /// Pause that searching instances are asked for; updated with each tick.
    log_duration m_searchPause = searchPauseFor(0);
    log_time m_nextRestore;
    log_time m_lastJoin;
    election_watch m_elections;
    report_admission m_reports;
    bool m_stopped = false;
};

} // namespace chervilport
