#include "chervilport/consensus/restored_group.h"

#include "chervilport/consensus/entry_log.h"
#include "chervilport/consensus/membership_codec.h"
#include "chervilport/consensus/membership_rules.h"
#include "chervilport/core/chervilport_error.h"

#include <utility>

namespace chervilport {

namespace {

    /// Number of terms that a restore skips. It exceeds the number of terms that the lost members can have used without
    /// the survivor, so that their late messages are always outdated.
    constexpr std::uint64_t restoreTermStep = 1'000'000;

    membership lastMembership(const persisted_state& stored)
    {
        for (auto entry = stored.entries.rbegin(); entry != stored.entries.rend(); ++entry) {
            if (entry->kind == entry_kind::Membership)
                return decodeMembership(entry->payload);
        }
        return stored.lastSnapshot ? stored.lastSnapshot->members : membership {};
    }

} // namespace

restored_group restoreFromDisk(const persisted_state& stored, const member& survivor)
{
    const auto members = lastMembership(stored);
    if (!isListed(members, survivor))
        throw chervilport_error(error_kind::InvalidRequest,
            "the disk has no membership that lists member " + std::to_string(static_cast<std::uint64_t>(survivor.id))
                + " with incarnation " + std::to_string(survivor.incarnation));

    restored_group restored;
    const auto log = makeEntryLog(persisted_state(stored));
    restored.lastIndex = lastIndex(log);
    restored.lastTerm = lastTerm(log);

    // The other members stay as learners, so that the leader contacts them and admits their new incarnations.
    auto next = withoutMember(members, survivor.id);
    restored.droppedVoters = next.voters;
    for (auto voter : next.voters) {
        voter.promoteWhenCaughtUp = true;
        next.learners.push_back(voter);
    }
    next.voters = { survivor };
    next.voters.front().promoteWhenCaughtUp = false;

    restored.entriesMayBeMissing = members.voters.size() > 1 || !isVoter(members, survivor);
    restored.state = stored;
    restored.state.hardState = { stored.hardState.term + restoreTermStep, survivor.id };
    restored.state.entries.push_back(
        { restored.lastIndex + 1, restored.state.hardState.term, entry_kind::Membership, encodeMembership(next) });
    return restored;
}

} // namespace chervilport
