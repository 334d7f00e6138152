#include "chervilport/transport/detail/peer_clock.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

using time_point = peer_clock::clock::time_point;

/// Returns a time on the own clock.
time_point at(std::chrono::milliseconds sinceEpoch) { return time_point(sinceEpoch); }

} // namespace

// Guards against a call of an earlier version, or the first one before a reading, that is taken for late.
Test(peerClock, callWithoutAKnownClockIsNotLate)
{
    peer_clock clock;
    recordReading(clock, 0, at(5s));
    cr_assert_eq(estimateTime(clock, at(9s)), 0);
    cr_assert_eq(timeOnTheWay(0, at(9s)).count(), 0);
}

// Guards against a call that seems younger than it is: two instances whose clocks differ, and a call that takes 3 s.
Test(peerClock, timeOnTheWayIsThatOfTheReceiver)
{
    const auto receiverAhead = 100s;
    peer_clock clock;
    recordReading(clock, readOwnClock(at(5s + receiverAhead)), at(5s));
    const auto sentMs = estimateTime(clock, at(7s));
    cr_assert_eq(timeOnTheWay(sentMs, at(10s + receiverAhead)).count(), 3'000);
}

// Guards against calls that are refused for good after one slow reply: the next reading replaces its estimate.
Test(peerClock, laterReadingReplacesASlowOne)
{
    peer_clock clock;
    const auto slow = 2s;
    recordReading(clock, readOwnClock(at(5s)), at(5s + slow));
    cr_assert_eq(timeOnTheWay(estimateTime(clock, at(8s)), at(8s)).count(), 2'000);
    recordReading(clock, readOwnClock(at(8s)), at(8s));
    cr_assert_eq(timeOnTheWay(estimateTime(clock, at(9s)), at(9s)).count(), 0);
}

// Guards against a difference below zero that counts as an enormous one: the receiver was suspended and its clock
// stood.
Test(peerClock, callFromTheFutureIsNotLate)
{
    peer_clock clock;
    recordReading(clock, readOwnClock(at(5s)), at(5s));
    cr_assert_eq(timeOnTheWay(estimateTime(clock, at(9s)), at(6s)).count(), 0);
}
