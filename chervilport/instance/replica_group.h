#pragma once

#include "chervilport/consensus/message.h"
#include "chervilport/consensus/replica.h"
#include "chervilport/consensus/replica_config.h"
#include "chervilport/instance/group_storage.h"
#include "chervilport/instance/proposal_result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

/// Functions that the owner provides to a replica group; called on the control thread.
struct replica_group_hooks {
    /// Applies a committed command to the state machine.
    std::function<void(std::string_view payload)> apply;
    /// Returns the encoded state of the state machine.
    std::function<std::string()> takeSnapshot;
    /// Replaces the state of the state machine.
    std::function<void(std::string_view data)> loadSnapshot;
    /// Sends messages to other members; they may be lost.
    std::function<void(std::vector<message>)> send;
    /// Called when role, leader, term, readiness or members change.
    std::function<void(const replica_status&)> statusChanged;
};

/// Runs one replication group: connects the replica, which does no I/O itself, to clock, storage and messages.
/// All calls must be made on the thread that runs the given io_context.
class replica_group : public std::enable_shared_from_this<replica_group> {
public:
    /// Called once with the result of a proposal; for a committed one directly after the command is applied.
    using proposal_callback = std::function<void(proposal_result)>;

    /// Creates the group; `name` is the component in its log lines.
    replica_group(asio::io_context&, std::string name, replica_config, group_storage, replica_group_hooks);
    ~replica_group();

    /// Loads the stored state and starts the replica. Throws chervilport_error of kind StorageFailure.
    void start();

    /// Stops the replica; pending proposals complete as Unknown.
    void stop();

    /// Handles a message from another member.
    void receive(const message&);

    /// Appends a command; the callback is called at once with NotCommitted when this member is not the leader.
    void propose(std::string payload, proposal_callback);

    /// Starts to transfer leadership to another member. Returns false when this member is not the leader or no other
    /// member can take over.
    bool transferLeadership();

    /// Adds or replaces a member, as voter or as learner. Returns whether the change was appended.
    bool changeMember(const member&, bool asVoter);

    /// Removes a member. Returns whether the change was appended.
    bool removeMember(member_id);

    /// Returns whether this member is leader and, by its lease, no other member can be leader, so that it may execute
    /// commands to workers. Also valid while a command is applied, when later ones may already be committed.
    bool mayExecute() const;

    /// Returns whether this member is leader, no other member can be leader, and all committed commands are applied.
    bool mayServe() const;

    /// Returns the status of the replica.
    replica_status status() const;

    /// Returns this member.
    const member& self() const { return m_config.self; }

    /// Returns whether storage failed, so that this member no longer participates.
    bool hasFailed() const { return m_failed; }

    /// Stops participating, as after a storage failure; for a group whose `start` has thrown.
    void abandon(const std::string& reason) { fail(reason); }

    /// Returns the index of the last applied log entry.
    std::uint64_t appliedIndex() const { return m_appliedIndex; }

private:
    struct timer;
    struct pending_proposal {
        std::uint64_t term = 0;
        proposal_callback callback;
    };

    void scheduleTick();
    void process(replica_output);
    bool processQueued();
    void processOne(replica_output);
    void persist(const replica_output&);
    void applyCommitted(const std::vector<log_entry>&);
    void completeProposal(const log_entry&);
    void abandonPendingProposals();
    void compactIfDue();
    void reportStatus();
    void fail(const std::string& reason);

    std::string m_name;
    replica_config m_config;
    group_storage m_storage;
    replica_group_hooks m_hooks;
    std::unique_ptr<timer> m_timer;
    replica_ptr m_replica;
    std::deque<replica_output> m_outputs;
    std::map<std::uint64_t, pending_proposal> m_pending;
    replica_status m_lastStatus;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_compactedIndex = 0;
    std::size_t m_bytesSinceSnapshot = 0;
    std::size_t m_snapshotBytes = 0;
    bool m_processing = false;
    bool m_failed = false;
    bool m_stopped = false;
};

} // namespace chervilport
