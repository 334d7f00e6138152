#pragma once

#include "tests/soak/node_id.h"

#include <chrono>
#include <map>
#include <utility>

namespace chervilport::soak {

/// Active link faults between pairs of nodes, by direction. Overlapping cuts are counted; a new delay replaces the
/// last.
class link_table {
public:
    /// Holds back bytes from `from` to `to` until `restore` has been called once for each cut.
    void cut(node_id from, node_id to);

    /// Ends one cut.
    void restore(node_id from, node_id to);

    /// Delays bytes from `from` to `to`; zero ends the delay.
    void setDelay(node_id from, node_id to, std::chrono::milliseconds);

    /// Ends all faults.
    void clear();

    /// Returns whether bytes from `from` to `to` are held back.
    bool isCut(node_id from, node_id to) const;

    /// Returns the delay of bytes from `from` to `to`; zero for none.
    std::chrono::milliseconds delay(node_id from, node_id to) const;

private:
    using direction = std::pair<node_id, node_id>;

    std::map<direction, int> m_cuts;
    std::map<direction, std::chrono::milliseconds> m_delays;
};

} // namespace chervilport::soak
