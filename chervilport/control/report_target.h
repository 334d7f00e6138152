#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace chervilport {

/// Number of workers up to which all of them report to the leader, which needs no relay for a report that changes
/// something. With more, the reports alone would take the processor time of the leader.
inline constexpr std::size_t maxWorkersAtLeader = 1'024;

/// Returns the member that a worker reports to when the workers are spread over the given members; nothing without
/// members. Rendezvous hashing: all members choose alike, and the loss of a member moves only its own workers.
std::optional<member_id> reportMemberOf(std::string_view worker, std::span<const member_id> members);

} // namespace chervilport
