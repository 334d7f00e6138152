#pragma once

#include "chervilport/consensus/member_id.h"
#include "chervilport/transport/peer_address.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace chervilport {

/// Returns the member id of the instance that listens for other instances at an IPv4 address. The id contains the
/// address, so that the id alone is enough to reach a member. Throws chervilport_error `InvalidRequest` for other text.
member_id memberAt(std::string_view ip, std::uint16_t port);

/// Returns the address in a member id.
peer_address addressOf(member_id);

/// Returns a member id for an instance without state, which has a new id in each incarnation.
member_id statelessMember(std::string_view ip, std::uint16_t port, std::uint16_t incarnation);

/// Returns whether a member id is that of an instance without state, which never takes part in a group.
bool isStateless(member_id);

/// Returns the member ids of instances.
std::vector<member_id> idsOf(std::span<const peer_address>);

/// Returns the addresses of instances.
std::vector<peer_address> addressesOf(std::span<const member_id>);

} // namespace chervilport
