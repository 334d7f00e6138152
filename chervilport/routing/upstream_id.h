#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace chervilport {

/// One life of an upstream: a process that restarts under the same address is another upstream.
struct upstream_id {
    /// `ip:port` that the upstream serves.
    std::string address;
    /// Number of the life; a later one is larger.
    std::uint64_t incarnation = 0;

    friend bool operator==(const upstream_id&, const upstream_id&) = default;
    friend bool operator<(const upstream_id& left, const upstream_id& right)
    {
        return std::tie(left.address, left.incarnation) < std::tie(right.address, right.incarnation);
    }
};

} // namespace chervilport
