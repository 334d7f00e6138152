#include "tests/requests/fake_domain.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace chervilport;
using namespace std::chrono_literals;

// Guards against a retry of a non-idempotent request that may have run, and against a missing retry where nothing ran.
Test(requestPipeline, retriesOnlyWherePermitted)
{
    fake_domain domain;
    const auto booking = domain.send(false, "k1");
    const auto first = domain.pending[0].outgoing;
    cr_assert_not(first.reuseConnection);
    domain.fail(0, http_delivery::NotSent, http_failure::ConnectFailed);
    cr_assert_eq(domain.pending.size(), 1);
    cr_assert(domain.pending[0].outgoing.address != first.address);
    domain.refuse(0);
    cr_assert_eq(domain.pending.size(), 1);
    domain.fail(0, http_delivery::MaybeSent, http_failure::NoResponse);
    cr_assert(domain.pending.empty());
    cr_assert(domain.hasError(booking, "outcome_unknown"));

    const auto reading = domain.send(true);
    cr_assert(domain.pending[0].outgoing.reuseConnection);
    domain.fail(0, http_delivery::MaybeSent, http_failure::Truncated);
    domain.respond(0, 500);
    domain.respond(0);
    cr_assert(domain.responseBodyOf(reading) == "result of 1");

    // Three refusals use up the attempts; nothing has run.
    const auto refused = domain.send(true);
    for (int i = 0; i < 3; ++i)
        domain.refuse(0);
    cr_assert(domain.hasError(refused, "overloaded"));
    // An error status of the executor is a response: a non-idempotent request is not retried after it.
    const auto failing = domain.send(false, "k2");
    domain.respond(0, 500);
    cr_assert(domain.responseBodyOf(failing) == "result of 3" && domain.calls[failing].responses[0].status == 500);
}

// Guards against a resend that runs again or receives another response than the first call.
Test(requestPipeline, resendIsAnsweredByClaim)
{
    fake_domain domain;
    const auto send = [&] { return domain.send(false, "k", "10000", "booking"); };
    const auto first = send();
    cr_assert(domain.hasError(send(), "still_running"));
    domain.respond(0);
    cr_assert(domain.responseBodyOf(first) == "result of booking");
    const auto resent = send();
    cr_assert(domain.responseBodyOf(resent) == "result of booking");
    cr_assert(findHeader(domain.calls[resent].responses[0].headers, "Chervilport-Replayed") == "true");
    cr_assert(domain.hasError(domain.send(false, "k", "10000", "another"), "key_reused"));
    cr_assert(domain.pending.empty());
    cr_assert_eq(domain.runs["booking"], 1);
}

// Guards against a non-idempotent request that is sent without a committed claim, and against a key that stays blocked
// after a failed commit.
Test(requestPipeline, withoutClaimNothingIsSent)
{
    fake_domain domain;
    domain.claimFault = "not committed";
    cr_assert(domain.hasError(domain.send(false, "k", "10000", "b"), "unavailable"));
    domain.claimFault = "reply lost";
    cr_assert(domain.hasError(domain.send(false, "k", "10000", "b"), "unavailable"));
    cr_assert(domain.pending.empty());
    domain.claimFault.clear();
    domain.send(false, "k", "10000", "b");
    cr_assert_eq(domain.pending.size(), 1);
    // If the end of the claim is not committed, the caller still receives the response, and the commit is tried again.
    domain.claimFault = "not committed";
    domain.claimFaults = 2;
    domain.respond(0);
    cr_assert(domain.responseBodyOf(2) == "result of b");
    cr_assert(domain.responseBodyOf(domain.send(false, "k", "10000", "b")) == "result of b");
    cr_assert_eq(domain.runs["b"], 1);
    cr_assert_eq(domain.pipeline->inFlight(), 0);
}

// Guards against more requests at an executor than the share of this instance, and against a slot that is not released.
Test(requestPipeline, queuesBeyondShare)
{
    fake_domain domain({}, 2, 2);
    for (int i = 0; i < 6; ++i)
        domain.send();
    cr_assert_eq(domain.pending.size(), 4);
    cr_assert_eq(domain.pipeline->queuedRequests(), 2);
    cr_assert_eq(domain.pipeline->demand()["pairing"], 6);
    std::map<std::string, int> perExecutor;
    for (const auto& attempt : domain.pending)
        ++perExecutor[attempt.outgoing.address];
    for (const auto& [address, count] : perExecutor)
        cr_assert_eq(count, 2);
    while (!domain.pending.empty())
        domain.respond(0);
    for (std::size_t i = 0; i < 6; ++i)
        cr_assert(domain.responseBodyOf(i) == "result of " + std::to_string(i));
    for (const auto& [id, slots] : domain.routing.slots.slots)
        cr_assert_eq(slots.inUse, 0);
}

// Guards against requests that wait beyond their deadline, and against retries after the deadline.
Test(requestPipeline, deadlineEndsWaiting)
{
    fake_domain domain({}, 1, 1);
    const auto running = domain.send(true, {}, "9000");
    const auto waiting = domain.send(true, {}, "1000");
    cr_assert(domain.pending[0].outgoing.timeout == 9000ms);
    domain.now += 1500ms;
    domain.pipeline->poll();
    cr_assert(domain.hasError(waiting, "deadline_exceeded"));
    domain.fail(0, http_delivery::MaybeSent, http_failure::TimedOut);
    // The retry has only the remaining time to the deadline.
    cr_assert(domain.pending.at(0).outgoing.timeout == 7500ms);
    domain.now += 8s;
    domain.fail(0, http_delivery::MaybeSent, http_failure::TimedOut);
    cr_assert(domain.hasError(running, "upstream_failed"));
}

// Guards against requests to a leaving executor, and against a drain that drops accepted requests.
Test(requestPipeline, leavingExecutorAndDrain)
{
    fake_domain domain({}, 2, 1);
    const auto accepted = domain.send();
    mergeAnnouncement(domain.routing.registry,
        { { "10.0.0.1:80", 1 }, 2, upstream_state::Leaving, upstream_kind::Executor, "seattle", "pairing", 2, 60 },
        domain.now);
    cr_assert(domain.hasError(domain.send(), "no_upstream"));
    domain.pipeline->beginDrain();
    cr_assert(domain.hasError(domain.send(), "draining"));
    domain.respond(0);
    cr_assert(domain.responseBodyOf(accepted) == "result of 0");
    cr_assert_eq(domain.pipeline->inFlight(), 0);
}

// Guards against accepting the response to another request: an executor that mixes up its responses returns a wrong
// attempt number.
Test(requestPipeline, responseOfOtherAttemptIsRefused)
{
    fake_domain domain;
    const auto booking = domain.send(false, "k");
    domain.end(0,
        { http_delivery::Complete, http_failure::None,
            { 200, { { "Chervilport-Attempt", "instance-1-99-1" } }, "result of another" }, {} });
    cr_assert(domain.hasError(booking, "outcome_unknown"));
}

// Guards, under generated faults, against a request with no or two responses, the response to another request, two runs
// of one key, the outcome `not_run` for a request that has run, and slots that are lost or exceeded.
Test(requestPipeline, keepsInvariantsUnderFaults)
{
    cr_assert(rc::check([] {
        request_settings settings;
        settings.queue.maxLength = 6;
        fake_domain domain(settings);
        for (int step = 0; step < 120; ++step) {
            const auto kind = *rc::gen::inRange(0, 12);
            const auto chosen = domain.pending.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, domain.pending.size());
            if (kind < 4) {
                const bool isIdempotent = *rc::gen::arbitrary<bool>();
                const auto key = isIdempotent ? std::string() : std::to_string(*rc::gen::inRange(0, 12));
                const auto deadline = std::to_string(*rc::gen::inRange(0, 5000));
                domain.send(isIdempotent, key, deadline, isIdempotent ? "" : "booking " + key);
            } else if (kind == 4) {
                domain.claimFault = *rc::gen::element<std::string>("", "", "not committed", "reply lost");
            } else if (kind == 5) {
                domain.now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
                domain.pipeline->poll();
            } else if (domain.pending.empty()) {
                continue;
            } else if (kind < 8) {
                domain.respond(chosen, *rc::gen::element(200, 200, 404, 500));
            } else if (kind == 8) {
                domain.refuse(chosen);
            } else if (kind == 9) {
                domain.fail(chosen, http_delivery::NotSent, http_failure::ConnectFailed);
            } else {
                // The executor may have run the request before the fault.
                domain.runs[domain.pending[chosen].outgoing.request.body] += *rc::gen::inRange(0, 2);
                domain.fail(chosen, http_delivery::MaybeSent,
                    *rc::gen::element(http_failure::NoResponse, http_failure::Truncated, http_failure::TimedOut));
            }
            std::map<upstream_id, int> inUse;
            for (const auto& attempt : domain.pending)
                ++inUse[{ attempt.outgoing.address, 1 }];
            for (const auto& [id, slots] : domain.routing.slots.slots)
                RC_ASSERT(slots.inUse == inUse[id] && slots.inUse <= slots.granted);
        }
        while (!domain.pending.empty())
            domain.respond(0);
        domain.now += 1h;
        domain.pipeline->poll();

        RC_ASSERT(domain.pipeline->inFlight() == 0U);
        for (std::size_t number = 0; number < domain.calls.size(); ++number) {
            const auto& call = domain.calls[number];
            RC_ASSERT(call.responses.size() == 1U);
            const auto body = call.isIdempotent ? std::to_string(number) : "booking " + call.key;
            const auto& responseBody = call.responses[0].body;
            if (responseBody.starts_with("result of"))
                RC_ASSERT(responseBody == "result of " + body);
            // Only idempotent calls are checked for `not_run`, because another call with the same key may have run.
            if (call.isIdempotent && responseBody.find("not_run") != std::string::npos)
                RC_ASSERT(domain.runs[body] == 0);
            if (!call.isIdempotent)
                RC_ASSERT(domain.runs[body] <= 1);
        }
    }));
}
