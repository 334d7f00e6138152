#include "chervilport/control/member_watch.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t requiredVoters = 3;

member_id idOf(int number) { return member_id { static_cast<std::uint64_t>(number) }; }

membership votersOf(std::initializer_list<int> numbers)
{
    membership members;
    for (const auto number : numbers)
        members.voters.push_back({ idOf(number), 1, true });
    return members;
}

} // namespace

// Guards against a replaced member that still counts towards the quorum after a change of the leader: with four voters
// of which one has gone for good, the loss of one disk leaves two of four, and all that was acknowledged is lost.
Test(memberWatch, followerThatSawTheAdmissionRemovesTheReplacedMember)
{
    const log_time start { 100s };
    member_watch watch;
    recordMembership(watch, votersOf({ 1, 2, 3 }), start);
    recordMembership(watch, votersOf({ 1, 2, 3, 4 }), start + 1s);
    watch.disconnectedSince[idOf(1)] = start + 5s;
    const auto members = votersOf({ 1, 2, 3, 4 });
    cr_assert(!chooseRemoval(watch, members, idOf(2), requiredVoters, start + 6s));
    cr_assert(chooseRemoval(watch, members, idOf(2), requiredVoters, start + 7s) == idOf(1));
}

// Guards against the removal of a member that was only silent for a while and that nobody has replaced.
Test(memberWatch, silentMemberStaysWithoutAReplacement)
{
    const log_time start { 100s };
    member_watch watch;
    recordMembership(watch, votersOf({ 1, 2, 3, 4 }), start);
    watch.disconnectedSince[idOf(1)] = start + 5s;
    const auto members = votersOf({ 1, 2, 3, 4 });
    cr_assert(!chooseRemoval(watch, members, idOf(2), requiredVoters, start + 20s));
    cr_assert(chooseRemoval(watch, members, idOf(2), requiredVoters, start + 25s) == idOf(1));
}

// Guards against a group that removes so many members that it no longer bears the losses that it must bear.
Test(memberWatch, requiredVotersStay)
{
    const log_time start { 100s };
    member_watch watch;
    recordMembership(watch, votersOf({ 1, 2, 3 }), start);
    watch.disconnectedSince[idOf(1)] = start;
    cr_assert(!chooseRemoval(watch, votersOf({ 1, 2, 3 }), idOf(2), requiredVoters, start + 60s));
}
