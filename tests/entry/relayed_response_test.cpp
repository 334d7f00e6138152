#include "chervilport/entry/relayed_response.h"

#include <criterion/criterion.h>
#include <string>

using namespace chervilport;

namespace {

relay_outcome respondedWith(int status, bool earlierAttempt)
{
    return { http_response { status, {}, {} }, earlierAttempt };
}

int statusOf(const relay_outcome& outcome, bool isMutating) { return responseFor(outcome, isMutating).status; }

} // namespace

// Guards against a refusal that says "not run" although an earlier attempt of the same submission was executed by a
// leader that was lost since: the key or the route can have been removed before the second attempt.
Test(relayedResponse, refusalAfterAnAttemptThatMayHaveRunIsNotPassedOn)
{
    for (const int refusal : { 401, 403, 404, 429, 503 })
        cr_expect_eq(statusOf(respondedWith(refusal, true), true), 502, "status %d", refusal);
}

// Guards against needless retries of clients when no other attempt can have run.
Test(relayedResponse, refusalOfTheOnlyAttemptIsPassedOn)
{
    for (const int refusal : { 400, 401, 403, 404, 410, 429, 503 })
        cr_expect_eq(statusOf(respondedWith(refusal, false), true), refusal, "status %d", refusal);
}

// Success, an invalid call and a job that never existed have the same response in every attempt.
Test(relayedResponse, responsesThatApplyToEveryAttemptArePassedOn)
{
    for (const int status : { 200, 400, 410, 413 })
        cr_expect_eq(statusOf(respondedWith(status, true), true), status, "status %d", status);
}

// A read has no effect, so an earlier attempt does not matter.
Test(relayedResponse, refusedReadsArePassedOn)
{
    cr_expect_eq(statusOf(respondedWith(404, true), false), 404);
    cr_expect_eq(statusOf({ std::nullopt, true }, false), 503);
}

// Guards against "not run" for a call whose only attempt had no response.
Test(relayedResponse, unansweredChangeIsRefusedOnlyIfItDidNotRun)
{
    cr_expect_eq(statusOf({ std::nullopt, false }, true), 503);
    cr_expect_eq(statusOf({ std::nullopt, true }, true), 502);
}
