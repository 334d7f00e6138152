#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/transport/peer_address.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace chervilport {

/// Returns the member number of the instance that listens for others at an IPv4 address. The number holds the address,
/// so that a member can be reached by whoever knows its number. Throws chervilport_error `InvalidRequest`.
member_id memberAt(std::string_view ip, std::uint16_t port);

/// Returns the address in a member number.
peer_address addressOf(member_id);

/// Returns a number for an instance without state, which is new in each life.
member_id statelessMember(std::string_view ip, std::uint16_t port, std::uint16_t incarnation);

/// Returns the numbers of instances.
std::vector<member_id> idsOf(std::span<const peer_address>);

/// Returns the addresses of instances.
std::vector<peer_address> addressesOf(std::span<const member_id>);

} // namespace chervilport
