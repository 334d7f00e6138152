#include "chervilport/consensus/replica.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

constexpr member onlyMember { member_id { 1 }, 1, true };

replica_config singleConfig()
{
    replica_config config;
    config.self = onlyMember;
    config.initialMembership.voters = { onlyMember };
    return config;
}

} // namespace

// Guards against a group with one member that waits for an election timeout, and against a commit before the entry is
// synced.
Test(singleMember, electsItselfAtOnceAndCommitsWhenSynced)
{
    const auto state = makeReplica(singleConfig(), {}, log_time {});
    auto output = tick(*state, log_time {});
    cr_assert(statusOf(*state).role == replica_role::Leader);
    cr_assert(output.hardState == (hard_state { 1, member_id { 1 } }));
    cr_assert(output.committed.empty());

    output = persisted(*state, log_time {});
    cr_assert_eq(output.committed.size(), 1);
    cr_assert(holdsLease(*state, log_time {}));

    replica_output proposed;
    cr_assert(propose(*state, { "a", "b" }, log_time {}, proposed) == 2);
    cr_assert_eq(proposed.appended.size(), 2);
    cr_assert(proposed.committed.empty());
    output = persisted(*state, log_time {});
    cr_assert_eq(output.committed.size(), 2);
    cr_assert_eq(output.committed.back().payload, "b");
}

// Guards against an instance that has lost its vote and starts an election under the initial membership, which lists an
// earlier incarnation.
Test(singleMember, newIncarnationIgnoresInitialMembership)
{
    auto config = singleConfig();
    config.self.incarnation = 2;
    const auto state = makeReplica(config, {}, log_time {});
    tick(*state, log_time {} + std::chrono::hours(1));
    cr_assert(statusOf(*state).role == replica_role::Learner);
}
