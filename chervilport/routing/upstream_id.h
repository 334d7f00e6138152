#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace chervilport {

/// Identifies one incarnation of an upstream: a process that restarts at the same address is another upstream.
struct upstream_id {
    /// Address that the upstream listens on, as `ip:port`.
    std::string address;
    /// Incarnation; increases with every restart.
    std::uint64_t incarnation = 0;

    friend bool operator==(const upstream_id&, const upstream_id&) = default;
    friend bool operator<(const upstream_id& left, const upstream_id& right)
    {
        return std::tie(left.address, left.incarnation) < std::tie(right.address, right.incarnation);
    }
};

} // namespace chervilport
