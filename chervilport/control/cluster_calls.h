#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/member_id.h"
#include "chervilport/control/search_pacing.h"
#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Method of calls between instances; calls of clients cannot use it.
inline constexpr std::string_view clusterMethod = "CLUSTER";

/// Status of the control group as one of its instances reports it.
struct cluster_status {
    /// Leader, if known.
    std::optional<member_id> leader;
    /// Term of the replication group.
    std::uint64_t term = 0;
    /// Whether the responding instance is the leader and serves calls.
    bool serves = false;
    /// Voters and learners.
    std::vector<member_id> members;
    /// Mean pause between two questions of an instance that searches for the leader.
    log_duration searchPause = searchPauseFor(0);
};

/// Builds a request for the status.
http_request makeStatusRequest();

/// Builds a request to join the group.
http_request makeJoinRequest(const member& joining);

/// Returns the member that asks to join, or nothing when the request is not a join request.
std::optional<member> readJoinRequest(const http_request&);

/// Returns whether a request asks for the status.
bool isStatusRequest(const http_request&);

/// Builds the response to a status request.
http_response makeStatusResponse(const cluster_status&);

/// Reads the response to a status request; nothing when the response is not a status.
std::optional<cluster_status> readStatusResponse(const http_response&);

/// Builds the response of an instance that is not the leader, which means that the call was not executed.
http_response makeNotLeaderResponse(std::optional<member_id> leader);

/// Returns whether a response says that the call was not executed because the instance is not the leader.
bool isNotLeaderResponse(const http_response&);

/// Returns the leader that a not-leader response names, if any.
std::optional<member_id> leaderNamedIn(const http_response&);

/// Builds the response of a leader that lost its leadership during the call; the call can still take effect.
http_response makeOutcomeUnknownResponse();

/// Returns whether a response says that the outcome of the call is unknown.
bool isOutcomeUnknownResponse(const http_response&);

} // namespace chervilport
