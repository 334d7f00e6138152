#pragma once

#include "chervilport/transport/transport_limits.h"

#include <cstddef>
#include <cstdint>

namespace chervilport {

/// Kind of place that an accepted connection takes.
enum class connection_place : std::uint8_t {
    /// The sender has not completed `hello`.
    Unidentified,
    /// The sender is a member of the group, or asks to become one. Replication depends on these connections.
    Reserved,
    /// Any other instance.
    Shared,
};

/// Counts the open accepted connections by kind and bounds each kind separately, so that no number of other instances
/// keeps the members of a group from each other.
class connection_places {
public:
    /// Creates an empty count.
    explicit connection_places(const transport_limits&);

    /// Takes a place of the kind. Returns false when all of them are taken.
    bool tryTake(connection_place);

    /// Releases a place of the kind, which must be taken.
    void release(connection_place);

    /// Returns the number of places of the kind that are taken.
    std::size_t taken(connection_place) const;

private:
    struct bounded_count {
        std::size_t maximum = 0;
        std::size_t taken = 0;
    };

    const bounded_count& countOf(connection_place) const;
    bounded_count& countOf(connection_place);

    bounded_count m_unidentified;
    bounded_count m_reserved;
    bounded_count m_shared;
};

} // namespace chervilport
