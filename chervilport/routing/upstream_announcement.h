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

/// What an upstream says about itself. The order is that in which one announcement supersedes an equally numbered one.
enum class upstream_state : std::uint8_t {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Has ended.
    Gone,
};

/// One announcement of an upstream.
struct upstream_announcement {
    /// Address and life of the upstream.
    upstream_id id;
    /// Number of the announcement within the life; a later one is larger.
    std::uint64_t sequence = 0;
    /// Whether it takes work.
    upstream_state state = upstream_state::Ready;
    /// Worker or executor.
    upstream_kind kind = upstream_kind::Executor;
    /// Failure domain that it is in.
    std::string failureDomain;
    /// Service that an executor offers; empty for workers.
    std::string service;
    /// Requests that an executor runs at the same time.
    std::int32_t slots = 0;
    /// Connections that an executor accepts.
    std::int32_t connections = 0;

    friend bool operator==(const upstream_announcement&, const upstream_announcement&) = default;
};

} // namespace chervilport
