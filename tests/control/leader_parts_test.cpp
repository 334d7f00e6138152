#include "chervilport/control/cluster_calls.h"
#include "chervilport/control/gang_start_tracker.h"
#include "chervilport/control/node_address.h"
#include "chervilport/control/worker_health.h"
#include "chervilport/core/chervilport_error.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

batch::run_ref runOf(std::uint32_t index) { return { { "job", 0, 0, index }, 1 }; }

} // namespace

// Guards against members that wait for a missing member until they time out on their own.
Test(gangStartTracker, incompleteGangIsStoppedInTime)
{
    gang_start_tracker tracker;
    const log_time start { 1'000s };
    recordStart(tracker, runOf(1), false, start);
    recordStart(tracker, runOf(2), false, start + 900ms);
    cr_assert(takeIncomplete(tracker, start + 999ms, 1'000ms).empty());
    const auto incomplete = takeIncomplete(tracker, start + 1'000ms, 1'000ms);
    cr_assert_eq(incomplete.size(), 1);
    cr_assert(incomplete.front() == gangOf(runOf(2)));
    cr_assert(takeIncomplete(tracker, start + 9s, 1'000ms).empty());
}

// Guards against a complete gang that is stopped.
Test(gangStartTracker, completeGangIsRemoved)
{
    gang_start_tracker tracker;
    const log_time start { 1'000s };
    recordStart(tracker, runOf(0), false, start);
    recordStart(tracker, runOf(1), true, start + 100ms);
    cr_assert(takeIncomplete(tracker, start + 9s, 1'000ms).empty());
}

// Guards against a worker that fails every run and so attracts more runs because it is always free, and against a
// worker that is quarantined for a task's own fault.
Test(workerHealth, consecutiveFailuresQuarantineAWorker)
{
    worker_health health;
    const log_time start { 1'000s };
    cr_assert(!recordEnd(health, batch::run_end_kind::Failed, start));
    recordEnd(health, batch::run_end_kind::Done, start);
    cr_assert(!recordEnd(health, batch::run_end_kind::Failed, start));
    cr_assert(isHealthy(health, start));
    cr_assert(recordEnd(health, batch::run_end_kind::Failed, start));
    cr_assert(!isHealthy(health, start));
    cr_assert(isHealthy(health, start + 60s));
    cr_assert(recordEnd(health, batch::run_end_kind::Failed, start + 60s));
}

// Guards against ends that count as failures of the worker although they do not depend on its health.
Test(workerHealth, otherEndsDoNotCount)
{
    worker_health health;
    for (const auto kind : { batch::run_end_kind::Stopped, batch::run_end_kind::GangAborted,
             batch::run_end_kind::GangIncomplete, batch::run_end_kind::Lost, batch::run_end_kind::NotStarted })
        cr_assert(!recordEnd(health, kind, log_time { 1s }));
    cr_assert_eq(failureWeightOf(health), 0);
}

// Guards against members that cannot be reached because the address is not recovered from the member id.
Test(nodeAddress, memberIdEncodesTheAddress)
{
    const auto id = memberAt("10.3.0.42", 7'000);
    cr_assert(addressOf(id).ip == "10.3.0.42");
    cr_assert_eq(addressOf(id).port, 7'000);
    const auto stateless = statelessMember("10.3.0.42", 7'000, 77);
    cr_assert(stateless != id);
    cr_assert(addressOf(stateless).ip == "10.3.0.42");
    cr_assert_throw(memberAt("somewhere", 7'000), chervilport_error);
}

// Guards against calls and responses between instances that are decoded as another kind.
Test(clusterCalls, messagesRoundTrip)
{
    cluster_status status;
    status.leader = memberAt("10.0.0.1", 7'000);
    status.term = 7;
    status.serves = true;
    status.members = { memberAt("10.0.0.1", 7'000), memberAt("10.0.0.2", 7'000) };
    const auto read = readStatusResponse(makeStatusResponse(status));
    cr_assert(read.has_value());
    cr_assert(read->leader == status.leader);
    cr_assert(read->members == status.members);
    cr_assert(read->serves);

    const auto refused = makeNotLeaderResponse(status.leader);
    cr_assert(isNotLeaderResponse(refused));
    cr_assert(leaderNamedIn(refused) == status.leader);
    cr_assert(!leaderNamedIn(makeNotLeaderResponse(std::nullopt)).has_value());
    cr_assert(isOutcomeUnknownResponse(makeOutcomeUnknownResponse()));
    cr_assert(!isOutcomeUnknownResponse(refused));
    cr_assert(!readStatusResponse({ 200, {}, "nonsense" }).has_value());

    const member joining { memberAt("10.0.0.3", 7'000), 12, true, false };
    cr_assert(readJoinRequest(makeJoinRequest(joining)) == joining);
    cr_assert(!readJoinRequest({ "POST", "/join", {}, "{}" }).has_value());
}
