#pragma once

#include "chervilport/consensus/member.h"
#include "chervilport/consensus/member_id.h"
#include "chervilport/http/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Method of calls between instances that no caller from outside can make.
inline constexpr std::string_view clusterMethod = "CLUSTER";

/// What an instance of the control group says of the group.
struct cluster_status {
    /// Leader, if known.
    std::optional<member_id> leader;
    /// Term.
    std::uint64_t term = 0;
    /// Whether the answering instance is the leader and serves.
    bool serves = false;
    /// Members, voters and learners.
    std::vector<member_id> members;
};

/// Builds a request for the status.
http_request makeStatusRequest();

/// Builds a request to join the group.
http_request makeJoinRequest(const member& joining);

/// Returns the member that asks to join, or nothing when this is no such request.
std::optional<member> readJoinRequest(const http_request&);

/// Whether this is a request for the status.
bool isStatusRequest(const http_request&);

/// Builds the answer with a status.
http_response makeStatusResponse(const cluster_status&);

/// Reads the answer, or nothing when it is none.
std::optional<cluster_status> readStatusResponse(const http_response&);

/// Builds the answer of an instance that is not the leader. The call was not carried out.
http_response makeNotLeaderResponse(std::optional<member_id> leader);

/// Whether an answer says that the call was not carried out because another instance leads.
bool isNotLeaderResponse(const http_response&);

/// Returns the leader that such an answer names.
std::optional<member_id> leaderNamedIn(const http_response&);

/// Builds the answer of a leader that lost its leadership during the call; the call can still take effect.
http_response makeOutcomeUnknownResponse();

/// Whether an answer says so.
bool isOutcomeUnknownResponse(const http_response&);

} // namespace chervilport
