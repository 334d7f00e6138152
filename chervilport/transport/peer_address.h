#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Address on which an instance listens for other instances.
struct peer_address {
    /// The instance.
    member_id id {};
    /// Numeric IPv4 or IPv6 address; host names are refused.
    std::string ip;
    /// TCP port.
    std::uint16_t port = 0;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

} // namespace chervilport
