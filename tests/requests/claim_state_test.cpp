#include "chervilport/core/chervilport_error.h"
#include "chervilport/requests/claim_reply_codec.h"
#include "chervilport/requests/claim_state.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

claim_step makeStep(claim_step_kind kind, const std::string& instance = "a", std::uint64_t number = 1)
{
    claim_step step;
    step.kind = kind;
    step.key = { "rail", "booking-1" };
    step.owner = { instance, 1 };
    step.number = number;
    step.bodyHash = "hash";
    step.uncertainAfter = 10s;
    if (kind == claim_step_kind::Complete)
        step.response = http_response { 201, { { "X-One", "1" } }, "booked" };
    return step;
}

claim_verdict verdictAt(claim_state& state, const claim_step& step, log_time now)
{
    return applyClaimStep(state, step, now).verdict;
}

} // namespace

// Guards against a resend that runs again, or that does not receive the stored response.
Test(claimState, resendReceivesStoredResponse)
{
    claim_state state;
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim), log_time(1s)) == claim_verdict::Granted);
    // The same claim, submitted again after a lost reply, is granted again; a claim of another instance is not.
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim), log_time(2s)) == claim_verdict::Granted);
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim, "b"), log_time(2s)) == claim_verdict::StillRunning);
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Complete, "b"), log_time(2s)) == claim_verdict::Uncertain);
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Complete), log_time(3s)) == claim_verdict::Granted);
    const auto reply = applyClaimStep(state, makeStep(claim_step_kind::Claim, "b"), log_time(4s));
    cr_assert(reply.verdict == claim_verdict::Completed);
    cr_assert(reply.response->status == 201 && reply.response->body == "booked");
    const auto forwarded = decodeClaimReply(encodeClaimReply(reply));
    cr_assert(forwarded.verdict == reply.verdict && forwarded.response->body == "booked");
    auto other = makeStep(claim_step_kind::Claim, "b");
    other.bodyHash = "other";
    cr_assert(verdictAt(state, other, log_time(4s)) == claim_verdict::KeyReused);
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim, "b"), log_time(25h)) == claim_verdict::Granted);
}

// Guards against a second grant of a key whose owner crashed, and against a key that stays blocked although its request
// was not sent.
Test(claimState, onlyProvenNotSentFreesKey)
{
    claim_state state;
    applyClaimStep(state, makeStep(claim_step_kind::Claim), log_time(1s));
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim, "b"), log_time(12s)) == claim_verdict::Uncertain);
    // The owner is still running and reports that it sent nothing.
    applyClaimStep(state, makeStep(claim_step_kind::Release), log_time(13s));
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim, "b"), log_time(14s)) == claim_verdict::Granted);
    // A late release by the earlier owner does not free the claim of the new owner.
    applyClaimStep(state, makeStep(claim_step_kind::Release), log_time(15s));
    auto lost = makeStep(claim_step_kind::OwnerLost, "b");
    lost.owner.incarnation = 2;
    applyClaimStep(state, lost, log_time(15s));
    cr_assert(verdictAt(state, makeStep(claim_step_kind::Claim, "c"), log_time(16s)) == claim_verdict::Uncertain);
}

// Guards against unbounded memory, and against an eviction that loses the fact that a request has run.
Test(claimState, boundDropsResponsesBeforeClaims)
{
    claim_state state;
    state.settings.maxBytes = 8000;
    std::uint64_t granted = 0;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        auto step = makeStep(claim_step_kind::Claim, "a", i);
        step.key.key = std::to_string(i);
        if (verdictAt(state, step, log_time(1s)) != claim_verdict::Granted)
            break;
        ++granted;
        step.kind = claim_step_kind::Complete;
        step.response = http_response { 200, {}, std::string(2000, 'x') };
        applyClaimStep(state, step, log_time(std::chrono::seconds(i)));
        cr_assert_leq(state.bytes, 8000);
    }
    cr_assert(granted > 8 && granted < 20);
    for (std::uint64_t i = 1; i <= granted; ++i) {
        auto step = makeStep(claim_step_kind::Claim, "b", i);
        step.key.key = std::to_string(i);
        cr_assert(verdictAt(state, step, log_time(30s)) == claim_verdict::Completed);
    }
    // After the minimum retention, the oldest claim is evicted for a new one.
    auto next = makeStep(claim_step_kind::Claim, "a", 100);
    next.key.key = "100";
    cr_assert(verdictAt(state, next, log_time(9min)) == claim_verdict::Full);
    cr_assert(verdictAt(state, next, log_time(11min)) == claim_verdict::Granted);
    cr_assert_leq(state.bytes, 8000);
}

// Guards against two grants of one key for any order of steps, also on a replica restored from a snapshot.
Test(claimState, neverGrantsTwiceUnlessReleased)
{
    cr_assert(rc::check([] {
        claim_state state;
        std::optional<std::string> holder;
        log_time now(1s);
        for (int i = 0; i < 60; ++i) {
            now += std::chrono::seconds(*rc::gen::inRange(0, 5));
            const auto kind
                = *rc::gen::element(claim_step_kind::Claim, claim_step_kind::Claim, claim_step_kind::Complete,
                    claim_step_kind::Uncertain, claim_step_kind::Release, claim_step_kind::OwnerLost);
            auto step = makeStep(kind, *rc::gen::element<std::string>("a", "b", "c"));
            step.owner.incarnation += kind == claim_step_kind::OwnerLost ? 1 : 0;
            auto restored = decodeClaimState(encodeClaimState(state));
            const auto reply = applyClaimStep(state, decodeClaimStep(encodeClaimStep(step)), now);
            RC_ASSERT(applyClaimStep(restored, step, now).verdict == reply.verdict);
            RC_ASSERT(encodeClaimState(restored) == encodeClaimState(state));
            RC_ASSERT(restored.bytes == state.bytes && restored.running == state.running);
            RC_ASSERT(restored.ended == state.ended && restored.stored == state.stored);
            const bool isGranted = reply.verdict == claim_verdict::Granted;
            if (kind == claim_step_kind::Claim && isGranted) {
                RC_ASSERT(!holder || *holder == step.owner.instance);
                holder = step.owner.instance;
            }
            if (kind == claim_step_kind::Release && isGranted)
                holder.reset();
        }
    }));
}

// Guards against a crash, or a wrong result without an error, when truncated bytes are decoded.
Test(claimState, damagedBytesAreRefused)
{
    const auto bytes = encodeClaimStep(makeStep(claim_step_kind::Complete));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        try {
            decodeClaimStep(std::string_view(bytes).substr(0, length));
            cr_assert_fail("%zu bytes were accepted", length);
        } catch (const chervilport_error& error) {
            cr_assert(error.kind() == error_kind::StorageFailure);
        }
    }
    const auto step = decodeClaimStep(bytes);
    cr_assert(step.key == claim_key({ "rail", "booking-1" }) && step.response->body == "booked");
}
