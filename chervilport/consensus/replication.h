#pragma once

#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/message.h"
#include "chervilport/consensus/peer_progress.h"
#include "chervilport/consensus/replica.h"

#include <optional>
#include <string>

namespace chervilport {

/// Appends an entry of the current term on the leader. A membership takes effect at once.
void appendAsLeader(replica&, entry_kind, std::string payload, replica_output&);

/// Adds and removes progress records so that they match the current members.
void updatePeers(replica&);

/// Sends entries to a member as far as its mode and in-flight limit allow.
void sendEntries(replica&, member_id, peer_progress&, replica_output&);

/// Sends entries to all members as far as their modes and in-flight limits allow.
void sendToAll(replica&, replica_output&);

/// Sends a request without entries. Before that, changes the mode of a member from `Pipeline` to `Probe` if it has not
/// responded for some heartbeats although requests with entries are in flight.
void sendHeartbeat(replica&, member_id, peer_progress&, replica_output&);

/// Returns the voter with the highest match index that responded within an election timeout, other than this member, if
/// any.
std::optional<member_id> mostAdvancedVoter(const replica&);

/// Handles entries or a heartbeat of the leader.
void handleAppendRequest(replica&, const message&, const append_request&, replica_output&);

/// Handles a snapshot from the leader.
void handleSnapshotRequest(replica&, const message&, const snapshot_request&, replica_output&);

/// Updates the progress of a member, advances the commit index and sends further entries.
void handleAppendResponse(replica&, const message&, const append_response&, replica_output&);

} // namespace chervilport
