#pragma once

#include "chervilport/instance/routing_notice.h"
#include "chervilport/requests/claim_store.h"

#include <functional>

namespace chervilport {

/// What the data plane needs from the rest of the instance; called on the io thread.
struct data_plane_hooks {
    /// Sends a notice to all other instances of the domain; it may be lost.
    std::function<void(const routing_notice&)> notifyDomain;
    /// Sends a notice to the leader of the domain, this instance included; it may be lost.
    std::function<void(const routing_notice&)> notifyLeader;
    /// Sends a notice to one instance, this one included; it may be lost.
    std::function<void(std::uint64_t instance, const routing_notice&)> notifyInstance;
    /// Writes a step of a claim to the log of the domain; calls back on the io thread.
    claim_store claims;
};

} // namespace chervilport
