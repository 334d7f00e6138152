#include "chervilport/transport/detail/peer_clock.h"

#include <algorithm>

namespace chervilport {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::uint64_t readOwnClock(peer_clock::clock::time_point now)
{
    const auto sinceEpoch = duration_cast<milliseconds>(now.time_since_epoch()).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(sinceEpoch, 1));
}

void recordReading(peer_clock& peer, std::uint64_t readingMs, peer_clock::clock::time_point now)
{
    if (readingMs == 0)
        return;
    peer.readingMs = readingMs;
    peer.readAt = now;
}

std::uint64_t estimateTime(const peer_clock& peer, peer_clock::clock::time_point now)
{
    if (!peer.readingMs)
        return 0;
    const auto elapsed = duration_cast<milliseconds>(now - peer.readAt).count();
    return *peer.readingMs + static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed, 0));
}

milliseconds timeOnTheWay(std::uint64_t sentMs, peer_clock::clock::time_point now)
{
    const auto nowMs = readOwnClock(now);
    if (sentMs == 0 || sentMs >= nowMs)
        return milliseconds(0);
    return milliseconds(nowMs - sentMs);
}

} // namespace chervilport
