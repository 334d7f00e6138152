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

// Guards against members that wait for one that never comes until they end on their own.
Test(gangWatch, incompleteGangIsStoppedInTime)
{
    gang_start_tracker watch;
    const log_time start { 1'000s };
    noteStarted(watch, runOf(1), false, start);
    noteStarted(watch, runOf(2), false, start + 900ms);
    cr_assert(takeIncomplete(watch, start + 999ms, 1'000ms).empty());
    const auto late = takeIncomplete(watch, start + 1'000ms, 1'000ms);
    cr_assert_eq(late.size(), 1);
    cr_assert(late.front() == gangOf(runOf(2)));
    cr_assert(takeIncomplete(watch, start + 9s, 1'000ms).empty());
}

// Guards against a complete gang that is stopped.
Test(gangWatch, completeGangIsForgotten)
{
    gang_start_tracker watch;
    const log_time start { 1'000s };
    noteStarted(watch, runOf(0), false, start);
    noteStarted(watch, runOf(1), true, start + 100ms);
    cr_assert(takeIncomplete(watch, start + 9s, 1'000ms).empty());
}

// Guards against a worker that fails all it starts and so is free for ever more, and against one that is set aside for
// a task's own fault.
Test(workerSoundness, failuresInARowSetAWorkerAside)
{
    worker_health soundness;
    const log_time start { 1'000s };
    cr_assert(!noteEnd(soundness, batch::run_end_kind::Failed, start));
    noteEnd(soundness, batch::run_end_kind::Done, start);
    cr_assert(!noteEnd(soundness, batch::run_end_kind::Failed, start));
    cr_assert(isHealthy(soundness, start));
    cr_assert(noteEnd(soundness, batch::run_end_kind::Failed, start));
    cr_assert(!isHealthy(soundness, start));
    cr_assert(isHealthy(soundness, start + 60s));
    cr_assert(noteEnd(soundness, batch::run_end_kind::Failed, start + 60s));
}

// Guards against ends that say nothing about the worker and yet count against it.
Test(workerSoundness, otherEndsDoNotCount)
{
    worker_health soundness;
    for (const auto kind : { batch::run_end_kind::Stopped, batch::run_end_kind::GangAborted,
             batch::run_end_kind::GangIncomplete, batch::run_end_kind::Lost, batch::run_end_kind::NotStarted })
        cr_assert(!noteEnd(soundness, kind, log_time { 1s }));
    cr_assert_eq(failureWeightOf(soundness), 0);
}

// Guards against members that cannot be reached because their number does not lead back to their address.
Test(nodeAddress, numberHoldsTheAddress)
{
    const auto id = memberAt("10.3.0.42", 7'000);
    cr_assert(addressOf(id).ip == "10.3.0.42");
    cr_assert_eq(addressOf(id).port, 7'000);
    const auto incarnation = statelessMember("10.3.0.42", 7'000, 77);
    cr_assert(incarnation != id);
    cr_assert(addressOf(incarnation).ip == "10.3.0.42");
    cr_assert_throw(memberAt("somewhere", 7'000), chervilport_error);
}

// Guards against answers between instances that are taken for something else.
Test(clusterCalls, answersKeepTheirMeaning)
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
