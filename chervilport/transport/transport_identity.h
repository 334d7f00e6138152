#pragma once

#include "chervilport/consensus/member_id.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Protocol between instances that this version speaks. Instances of other versions are refused.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// How an instance identifies itself to others.
struct transport_identity {
    /// Name of the cluster.
    std::string clusterId;
    /// Shared secret of the cluster. It travels in clear, so the network between instances has to be a trusted one.
    std::string secret;
    /// This instance.
    member_id instance {};
    /// Incarnation of this instance.
    std::uint64_t incarnation = 0;
    /// Protocol version; other values exist for tests.
    std::uint32_t protocolVersion = peerProtocolVersion;
};

} // namespace chervilport
