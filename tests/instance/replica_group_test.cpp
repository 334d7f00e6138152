#include "chervilport/instance/replica_group.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace chervilport;

namespace {

constexpr int proposalCount = 40;

/// Storage that records the last persisted index and can be made to fail.
struct fake_storage {
    std::uint64_t lastPersisted = 0;
    bool fails = false;

    group_storage functions()
    {
        return {
            [] { return persisted_state {}; },
            [this](const replica_output& output) {
                if (fails)
                    throw chervilport_error(error_kind::StorageFailure, "no space left on device");
                for (const auto& entry : output.appended)
                    lastPersisted = std::max(lastPersisted, entry.index);
            },
            [](const snapshot&) {},
        };
    }
};

replica_config singleVoter()
{
    replica_config config;
    config.self = { member_id { 1 }, 7, true };
    config.initialMembership.voters.push_back(config.self);
    return config;
}

replica_group_hooks noOpHooks()
{
    replica_group_hooks hooks;
    hooks.apply = [](std::string_view) {};
    hooks.takeSnapshot = [] { return std::string(); };
    hooks.loadSnapshot = [](std::string_view) {};
    hooks.send = [](const std::vector<message>&) {};
    hooks.statusChanged = [](const replica_status&) {};
    return hooks;
}

} // namespace

// Guards against a command that is applied before it is durable, or out of order, when commands are proposed while
// others are applied.
Test(replicaGroup, nestedProposalsAreDurableAndInOrder)
{
    asio::io_context context;
    fake_storage storage;
    std::vector<std::string> applied;
    std::shared_ptr<replica_group> group;
    auto hooks = noOpHooks();
    hooks.apply = [&](std::string_view payload) {
        applied.emplace_back(payload);
        cr_assert_leq(group->appliedIndex() + 1, storage.lastPersisted);
        if (applied.size() < proposalCount)
            group->propose(std::to_string(applied.size()), [](proposal_result) {});
    };
    group = std::make_shared<replica_group>(context, "test", singleVoter(), storage.functions(), hooks);
    group->start();
    int committed = 0;
    group->propose("0", [&](proposal_result result) { committed += result == proposal_result::Committed; });
    cr_assert_eq(committed, 1);
    cr_assert_eq(applied.size(), proposalCount);
    for (int i = 0; i < proposalCount; ++i)
        cr_assert(applied[static_cast<std::size_t>(i)] == std::to_string(i));
    group->stop();
}

// Guards against commands to workers that are delayed until the next retry, because mayExecute returns false while the
// leader applies the entry that caused them.
Test(replicaGroup, leaderMayExecuteWhileItApplies)
{
    asio::io_context context;
    fake_storage storage;
    std::shared_ptr<replica_group> group;
    bool mayExecute = false;
    auto hooks = noOpHooks();
    hooks.apply = [&](std::string_view) { mayExecute = group->mayExecute(); };
    group = std::make_shared<replica_group>(context, "test", singleVoter(), storage.functions(), hooks);
    group->start();
    group->propose("a", [](proposal_result) {});
    cr_assert(mayExecute);
    group->stop();
    cr_assert_not(group->mayExecute());
}

// Guards against a command that is acknowledged as committed although its write failed.
Test(replicaGroup, writeErrorEndsAcknowledgements)
{
    asio::io_context context;
    fake_storage storage;
    bool reported = false;
    auto hooks = noOpHooks();
    hooks.statusChanged = [&](const replica_status& status) { reported |= !status.ready; };
    const auto group = std::make_shared<replica_group>(context, "test", singleVoter(), storage.functions(), hooks);
    group->start();
    cr_assert(group->mayServe());
    storage.fails = true;
    auto result = proposal_result::Committed;
    group->propose("a", [&](proposal_result given) { result = given; });
    cr_assert(result == proposal_result::Unknown);
    cr_assert(group->hasFailed());
    cr_assert_not(group->mayServe());
    cr_assert(reported);
    group->propose("b", [&](proposal_result given) { result = given; });
    cr_assert(result == proposal_result::NotCommitted);
    group->stop();
}
