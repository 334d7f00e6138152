#pragma once

#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/message.h"
#include "chervilport/consensus/peer_progress.h"
#include "chervilport/consensus/replica.h"

#include <optional>
#include <string>

namespace chervilport {

/// Appends an entry of the present term on the leader; a membership is in force from then on.
void appendAsLeader(replica&, entry_kind, std::string payload, replica_output&);

/// Adds and removes progress records so that they match the members in force.
void updatePeers(replica&);

/// Sends entries to a member as far as its mode and window allow.
void sendEntries(replica&, member_id, peer_progress&, replica_output&);

/// Sends entries to all members as far as their modes and windows allow.
void sendToAll(replica&, replica_output&);

/// Sends a request without entries.
void sendHeartbeat(replica&, member_id, peer_progress&, replica_output&);

/// Returns the voter, other than this member, that holds most of the log and is heard from, if any.
std::optional<member_id> mostAdvancedVoter(const replica&);

/// Takes entries from the leader.
void handleAppendRequest(replica&, const message&, const append_request&, replica_output&);

/// Takes a snapshot from the leader.
void handleSnapshotRequest(replica&, const message&, const snapshot_request&, replica_output&);

/// Notes what a member holds, and continues sending to it.
void handleAppendResponse(replica&, const message&, const append_response&, replica_output&);

} // namespace chervilport
