#pragma once

#include "chervilport/transport/transport_counters.h"

#include <mutex>

namespace chervilport {

/// The counters of a transport. Safe on any thread.
class shared_counters {
public:
    /// Changes the counters of all peers.
    template <typename change> void update(change apply)
    {
        const std::lock_guard lock(m_mutex);
        apply(m_counters);
    }

    /// Changes the counters of one peer.
    template <typename change> void updatePeer(member_id peer, change apply)
    {
        const std::lock_guard lock(m_mutex);
        apply(m_counters.peers[peer]);
    }

    /// Returns a copy.
    transport_counters copy() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

private:
    mutable std::mutex m_mutex;
    transport_counters m_counters;
};

} // namespace chervilport
