#pragma once

#include "chervilport/routing/upstream_id.h"

#include <cstdint>
#include <string>

namespace chervilport {

/// Kind of an upstream.
enum class upstream_kind : std::uint8_t {
    /// Runs tasks of jobs.
    Worker,
    /// Runs short requests.
    Executor,
};

/// Announced state of an upstream. Among announcements with equal sequence numbers, the larger state supersedes.
enum class upstream_state : std::uint8_t {
    /// Accepts new work.
    Ready,
    /// Completes its work and accepts no new work.
    Leaving,
    /// Has ended.
    Gone,
};

/// One announcement of an upstream.
struct upstream_announcement {
    /// Address and incarnation of the upstream.
    upstream_id id;
    /// Sequence number of the announcement; increases within an incarnation.
    std::uint64_t sequence = 0;
    /// Whether the upstream accepts work.
    upstream_state state = upstream_state::Ready;
    /// Worker or executor.
    upstream_kind kind = upstream_kind::Executor;
    /// Failure domain of the upstream.
    std::string failureDomain;
    /// Service of an executor; empty for workers.
    std::string service;
    /// Maximum number of requests that an executor runs concurrently.
    std::int32_t slots = 0;
    /// Maximum number of connections that an executor accepts.
    std::int32_t connections = 0;

    friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;
};

} // namespace chervilport
