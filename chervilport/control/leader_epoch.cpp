#include "chervilport/control/leader_epoch.h"

#include <algorithm>

namespace chervilport {

namespace {

    /// Bits of the number that hold the epoch. JSON represents integers of 53 bits, which leaves 8 million terms, and
    /// a year of 30 epochs a second in each.
    constexpr unsigned epochBits = 30;
    constexpr std::uint64_t maxEpoch = (std::uint64_t { 1 } << epochBits) - 1;

} // namespace

std::uint64_t valueOf(const leader_epoch& leader)
{
    return (leader.term << epochBits) + std::min(leader.epoch, maxEpoch);
}

} // namespace chervilport
