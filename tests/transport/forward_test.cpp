#include "tests/transport/tcp_relay.h"
#include "tests/transport/transport_node.h"

#include "chervilport/transport/detail/call_budget.h"

#include <criterion/criterion.h>

#include <memory>

using namespace chervilport;

namespace {

constexpr std::chrono::milliseconds longTimeout { 600000 };

const forward_failure& failureOf(const transport_node& node, std::size_t index)
{
    return std::get<forward_failure>(node.results[index]);
}

/// A caller and the instance that serves its calls, with a relay between them.
struct forward_pair {
    transport_node server { 1 };
    transport_node caller { 2 };
    std::unique_ptr<tcp_relay> relay;

    forward_pair()
    {
        server.start();
        relay = std::make_unique<tcp_relay>(server.transport.port());
        caller.start({ { member_id { 1 }, "127.0.0.1", relay->port() } });
        caller.waitConnected(1);
    }

    void waitCalls(std::size_t count)
    {
        server.wait([&] { return server.calls.size() == count; });
    }

    void waitResults(std::size_t count)
    {
        caller.wait([&] { return caller.results.size() >= count; });
    }
};

} // namespace

// Guards against swapped responses: each call receives its own response, in any order of the responses.
Test(forward, responses_reach_their_own_calls)
{
    forward_pair pair;
    pair.caller.forward(1, "/a", longTimeout);
    pair.waitCalls(1);
    pair.caller.forward(1, "/b", longTimeout);
    pair.waitCalls(2);
    cr_assert_eq(pair.server.calls[0].path, "/a");
    cr_assert_eq(pair.server.calls[0].method, "POST");
    cr_assert_eq(pair.server.calls[0].body, "body");
    cr_assert_eq(pair.server.calls[0].headers[0].value, "value");
    cr_assert_leq(pair.server.calls[0].remaining.count(), longTimeout.count());
    cr_assert_gt(pair.server.calls[0].remaining.count(), 0);
    const auto responseWith = [](const char* body) { return forward_response { 201, { { "Location", "x" } }, body }; };
    pair.server.responders[1](responseWith("of b"));
    pair.waitResults(1);
    pair.server.responders[0](responseWith("of a"));
    pair.waitResults(2);
    cr_assert(std::get<forward_response>(pair.caller.results[0]) == responseWith("of b"));
    cr_assert(std::get<forward_response>(pair.caller.results[1]) == responseWith("of a"));
}

// Guards against outcome NotRun, or no result, when the connection is lost after the peer received the call.
Test(forward, peer_lost_during_a_call_is_unknown_once)
{
    forward_pair pair;
    pair.caller.forward(1, "/a", longTimeout);
    pair.waitCalls(1);
    pair.relay->resetAll();
    pair.waitResults(1);
    cr_assert(failureOf(pair.caller, 0).outcome == run_outcome::Unknown);
    cr_assert(failureOf(pair.caller, 0).kind == error_kind::OutcomeUnknown);
    pair.server.responders[0](forward_response { 200, {}, "late" });
    pair.caller.waitConnected(1, 2);
    pair.caller.forward(1, "/b", longTimeout);
    pair.waitCalls(2);
    pair.server.responders[1](forward_response { 200, {}, "of b" });
    pair.waitResults(2);
    pair.caller.transport.stop();
    cr_assert_eq(pair.caller.results.size(), 2);
    cr_assert_eq(std::get<forward_response>(pair.caller.results[1]).body, "of b");
}

// Guards against a call that never completes, and against a second result after the deadline.
Test(forward, deadline_during_a_call_is_unknown_once)
{
    forward_pair pair;
    // On a slow machine the deadline can pass before the call is sent; such an attempt is repeated.
    std::size_t attempts = 0;
    do {
        pair.caller.forward(1, "/a", std::chrono::milliseconds(200));
        pair.waitResults(++attempts);
    } while (failureOf(pair.caller, attempts - 1).outcome == run_outcome::NotRun);
    cr_assert(failureOf(pair.caller, attempts - 1).kind == error_kind::OutcomeUnknown);

    pair.caller.forward(1, "/b", longTimeout);
    pair.server.wait([&] { return !pair.server.calls.empty() && pair.server.calls.back().path == "/b"; });
    for (const auto& respond : pair.server.responders)
        respond(forward_response { 200, {}, &respond == &pair.server.responders.back() ? "of b" : "late" });
    pair.waitResults(attempts + 1);
    pair.caller.transport.stop();
    cr_assert_eq(pair.caller.results.size(), attempts + 1);
    cr_assert_eq(std::get<forward_response>(pair.caller.results.back()).body, "of b");
}

// Guards against a call that runs seconds after its sender gave it up, and undoes a later one: the network held it up.
Test(forward, call_held_up_past_its_deadline_is_not_run)
{
    forward_pair pair;
    const auto late = std::chrono::milliseconds(200);
    std::size_t attempts = 0;
    do {
        pair.relay->setHoldBytes(true);
        pair.caller.forward(1, "/late", late);
        pair.waitResults(++attempts);
    } while (failureOf(pair.caller, attempts - 1).outcome == run_outcome::NotRun);
    std::this_thread::sleep_for(late);
    pair.relay->setHoldBytes(false);
    pair.caller.forward(1, "/after", longTimeout);
    pair.server.wait([&] { return !pair.server.calls.empty() && pair.server.calls.back().path == "/after"; });
    cr_assert_eq(pair.server.calls.size(), 1);
    cr_assert_eq(pair.server.transport.counters().lateForwards, 1);
}

// Guards against outcome Unknown after a refusal, and against a caller that waits for a destroyed responder.
Test(forward, refusal_is_not_run_and_dropped_responder_is_unknown)
{
    forward_pair pair;
    pair.caller.forward(1, "/a", longTimeout);
    pair.waitCalls(1);
    pair.server.responders[0](forward_refusal { "leaving" });
    pair.waitResults(1);
    cr_assert(failureOf(pair.caller, 0).outcome == run_outcome::NotRun);
    cr_assert_eq(failureOf(pair.caller, 0).reason, "leaving");
    pair.caller.forward(1, "/b", longTimeout);
    pair.waitCalls(2);
    {
        const std::lock_guard lock(pair.server.mutex);
        pair.server.responders.clear();
    }
    pair.waitResults(2);
    cr_assert(failureOf(pair.caller, 1).outcome == run_outcome::Unknown);
}

// Guards against outcome Unknown for calls that were not sent: peer unknown, deadline passed, peer down, transport
// stopped or not started.
Test(forward, unsent_calls_are_not_run)
{
    tcp_relay relay(0);
    const peer_address address { member_id { 1 }, "127.0.0.1", relay.port() };
    transport_node caller(2);
    caller.start({ address });
    caller.forward(3, "/unknown", longTimeout);
    caller.forward(1, "/late", std::chrono::milliseconds(0));
    caller.forward(1, "/down", longTimeout);
    caller.wait([&] { return caller.results.size() == 3; });
    caller.transport.stop();
    caller.forward(1, "/stopped", longTimeout);
    transport_node never(4);
    never.transport.setPeers({ address });
    never.forward(1, "/never started", longTimeout);
    never.transport.stop();
    caller.results.insert(caller.results.end(), never.results.begin(), never.results.end());
    cr_assert_eq(caller.results.size(), 5);
    for (std::size_t i = 0; i < 5; ++i)
        cr_assert(failureOf(caller, i).outcome == run_outcome::NotRun);
}

// Guards against calls that accumulate for a peer that does not respond.
Test(forward, pending_calls_are_bounded_and_end_with_stop)
{
    forward_pair pair;
    const auto bound = transport_limits {}.maxPendingForwards;
    for (std::size_t i = 0; i < bound; ++i)
        pair.caller.forward(1, "/a", longTimeout);
    pair.caller.forward(1, "/b", longTimeout);
    pair.waitResults(1);
    cr_assert(failureOf(pair.caller, 0).kind == error_kind::Overloaded);
    cr_assert(failureOf(pair.caller, 0).outcome == run_outcome::NotRun);
    pair.waitCalls(bound);
    pair.caller.transport.stop();
    cr_assert_eq(pair.caller.results.size(), bound + 1);
    cr_assert(failureOf(pair.caller, bound).outcome == run_outcome::Unknown);
}

// Guards against an unresponsive peer that stays undetected for minutes because only calls are sent to it.
Test(forward, unresponsive_peer_is_detected_without_envelopes)
{
    transport_limits limits;
    limits.responseTimeout = std::chrono::milliseconds(100);
    transport_node server(1);
    server.start();
    tcp_relay relay(server.transport.port());
    transport_node caller(2, 1, limits);
    caller.start({ { member_id { 1 }, "127.0.0.1", relay.port() } });
    caller.waitConnected(1);
    relay.setDropBytes(true);
    caller.forward(1, "/a", longTimeout);
    caller.wait([&] { return caller.results.size() == 1; });
    cr_assert(failureOf(caller, 0).outcome == run_outcome::Unknown);
}

// Guards against unbounded memory for the bodies of calls, and against a call so large that it ends the connection.
Test(forward, bytes_of_calls_are_bounded)
{
    transport_limits limits;
    limits.maxPendingForwardBytes = 1000;
    limits.maxMessageBytes = 100000;
    call_budget budget(limits);
    cr_assert(!budget.tryAcquire(5000).has_value());
    cr_assert(budget.tryAcquire(1) == error_kind::Overloaded);
    budget.release(5000);
    cr_assert(!budget.tryAcquire(600).has_value());
    cr_assert(!budget.tryAcquire(400).has_value());
    cr_assert(budget.tryAcquire(1) == error_kind::Overloaded);
    cr_assert(budget.tryAcquire(99999) == error_kind::TooLarge);
}

// Guards against a fetch of an older configuration, and against sending the content to an instance that has it.
Test(configuration, only_a_newer_one_is_sent)
{
    forward_pair pair;
    pair.server.transport.publishConfiguration({ 7, "document" });
    std::vector<std::optional<configuration_copy>> copies;
    const auto fetch = [&](std::uint64_t peer, std::uint64_t known) {
        const auto count = copies.size();
        pair.caller.transport.fetchConfiguration(
            member_id { peer }, known, longTimeout, [&](std::optional<configuration_copy> copy) {
                const std::lock_guard lock(pair.caller.mutex);
                copies.push_back(std::move(copy));
                pair.caller.changed.notify_all();
            });
        pair.caller.wait([&] { return copies.size() > count; });
    };
    fetch(1, 6);
    fetch(1, 7);
    fetch(9, 0);
    cr_assert((copies[0] == configuration_copy { 7, "document" }));
    cr_assert((copies[1] == configuration_copy { 7, "" }));
    cr_assert(!copies[2].has_value());
}
