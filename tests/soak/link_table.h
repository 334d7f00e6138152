#pragma once

#include "tests/soak/node_id.h"

#include <chrono>
#include <map>
#include <utility>

namespace chervilport::soak {

/// What happens to the bytes between two parties, by direction. Faults that overlap add up.
class link_table {
public:
    /// Holds back what `from` sends to `to`, until as many calls of `restore` have followed.
    void cut(node_id from, node_id to);

    /// Ends one cut.
    void restore(node_id from, node_id to);

    /// Delays what `from` sends to `to`; zero ends it.
    void setDelay(node_id from, node_id to, std::chrono::milliseconds);

    /// Ends all faults.
    void clear();

    /// Returns whether bytes are held back.
    bool isCut(node_id from, node_id to) const;

    /// Returns the delay.
    std::chrono::milliseconds delay(node_id from, node_id to) const;

private:
    using direction = std::pair<node_id, node_id>;

    std::map<direction, int> m_cuts;
    std::map<direction, std::chrono::milliseconds> m_delays;
};

} // namespace chervilport::soak
