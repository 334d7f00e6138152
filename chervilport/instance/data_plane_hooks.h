#pragma once

#include "chervilport/instance/routing_notice.h"
#include "chervilport/requests/claim_store.h"

#include <functional>

namespace chervilport {

/// Functions that the instance provides to the data plane; called on the io thread.
struct data_plane_hooks {
    /// Sends a notice to all other instances of the domain; it may be lost.
    std::function<void(const routing_notice&)> notifyDomain;
    /// Sends a notice to the leader of the domain, which may be this instance; it may be lost.
    std::function<void(const routing_notice&)> notifyLeader;
    /// Sends a notice to one instance, which may be this one; it may be lost.
    std::function<void(std::uint64_t instance, const routing_notice&)> notifyInstance;
    /// Writes steps of claims to the domain log; calls back on the io thread.
    claim_store claims;
};

} // namespace chervilport
