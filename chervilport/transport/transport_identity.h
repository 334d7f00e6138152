#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Version of the protocol between instances. Instances with another version are refused.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// How an instance identifies itself to others.
struct transport_identity {
    /// Name of the cluster.
    std::string clusterId;
    /// Shared secret of the cluster. It is sent unencrypted, so the network between instances has to be trusted.
    std::string secret;
    /// This instance.
    member_id instance {};
    /// Incarnation of this instance.
    std::uint64_t incarnation = 0;
    /// Protocol version; only tests set other values.
    std::uint32_t protocolVersion = peerProtocolVersion;
};

} // namespace chervilport
