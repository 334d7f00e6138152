#include "tests/transport/tcp_relay.h"
#include "tests/transport/transport_node.h"

#include "chervilport/transport/detail/send_queue.h"

#include <criterion/criterion.h>

#include <memory>

using namespace chervilport;

namespace {

std::uint64_t roundOf(const scoped_message& value) { return std::get<append_request>(value.content.body).round; }

} // namespace

// Guards against reordered or repeated envelopes on one connection.
Test(deliver, order_is_kept_and_nothing_repeats)
{
    transport_node receiver(1);
    receiver.start();
    transport_node sender(2);
    sender.start({ receiver.address(1) });
    sender.waitConnected(1);
    constexpr std::uint64_t count = 400;
    for (std::uint64_t round = 1; round <= count; ++round)
        sender.transport.send(member_id { 1 }, heartbeat(2, 1, round));
    std::vector<std::uint64_t> rounds;
    receiver.wait([&] {
        rounds.clear();
        for (const auto& [peer, content] : receiver.envelopes)
            for (const auto& each : content.messages)
                rounds.push_back(roundOf(each));
        return rounds.size() >= count;
    });
    for (std::uint64_t i = 0; i < count; ++i)
        cr_assert_eq(rounds[i], i + 1);
    cr_assert_eq(rounds.size(), count);
    cr_assert_eq(receiver.envelopes[0].first, member_id { 2 });
    cr_assert_eq(receiver.envelopes[0].second.configurationVersion, 12);
}

// Guards against an instance that sends messages with the id of another instance.
Test(deliver, message_with_a_forged_sender_is_refused)
{
    transport_node receiver(1);
    receiver.start();
    transport_node sender(2);
    sender.start({ receiver.address(1) });
    sender.transport.send(member_id { 1 }, heartbeat(3, 1, 1));
    receiver.waitCounters([](const transport_counters& counters) { return counters.malformed == 1; });
    receiver.transport.stop();
    cr_assert(receiver.envelopes.empty());
}

// Guards against a sender that does not reconnect to a peer after its restart.
Test(deliver, restarted_peer_is_reconnected)
{
    auto receiver = std::make_unique<transport_node>(1);
    receiver->start();
    tcp_relay relay(receiver->transport.port());
    transport_node sender(2);
    sender.start({ { member_id { 1 }, "127.0.0.1", relay.port() } });
    sender.waitConnected(1);
    relay.setTarget(0);
    receiver.reset();
    sender.waitCounters(
        [](const transport_counters& counters) { return !counters.peers.at(member_id { 1 }).connected; });
    transport_node restarted(1, 2);
    restarted.start();
    relay.setTarget(restarted.transport.port());
    sender.waitConnected(1, 2);
    sender.transport.send(member_id { 1 }, heartbeat(2, 1, 9));
    restarted.wait([&] { return !restarted.envelopes.empty(); });
    cr_assert_eq(roundOf(restarted.envelopes[0].second.messages[0]), 9);
}

// Guards against a removed peer that still receives messages, and against a peer at a new address that does not.
Test(deliver, peers_can_be_removed_and_moved)
{
    transport_node first(1);
    first.start();
    transport_node second(1, 2);
    second.start();
    transport_node sender(2);
    sender.start({ first.address(1) });
    sender.waitConnected(1);
    sender.transport.setPeers({});
    sender.waitCounters(
        [](const transport_counters& counters) { return counters.peers.at(member_id { 1 }).disconnects == 1; });
    sender.transport.send(member_id { 1 }, heartbeat(2, 1, 1));
    sender.transport.setPeers({ second.address(1) });
    sender.waitConnected(1, 2);
    sender.transport.send(member_id { 1 }, heartbeat(2, 1, 2));
    second.wait([&] { return !second.envelopes.empty(); });
    cr_assert_eq(roundOf(second.envelopes[0].second.messages[0]), 2);
    first.transport.stop();
    cr_assert(first.envelopes.empty());
}

// Guards against bounds on messages that block a snapshot of the maximum size, or the messages after it.
Test(deliver, large_snapshot_arrives_complete)
{
    transport_node receiver(1);
    receiver.start();
    transport_node sender(2);
    sender.start({ receiver.address(1) });
    sender.waitConnected(1);
    std::string data(transport_limits {}.maxMessageBytes * 3 / 4, 'x');
    for (std::size_t i = 0; i < data.size(); i += 7)
        data[i] = static_cast<char>(i * 2654435761U >> 24);
    const snapshot_request body { { 9, 8, { { { member_id { 1 }, 7, true } }, {} }, data }, 6 };
    const message content { member_id { 2 }, 1, member_id { 1 }, 8, body };
    sender.transport.send(member_id { 1 }, { 1, { { replication_scope::Fleet, content } }, {} });
    sender.transport.send(member_id { 1 }, heartbeat(2, 1, 1));
    receiver.wait([&] { return receiver.envelopes.size() == 2; });
    const auto& arrived = receiver.envelopes[0].second.messages[0];
    cr_assert(arrived.scope == replication_scope::Fleet);
    cr_assert(std::get<snapshot_request>(arrived.content.body).content == body.content);
    cr_assert_eq(sender.transport.counters().peers.at(member_id { 1 }).disconnects, 0);
}

// Guards against a queue that grows while a peer is unreachable.
Test(deliver, queue_towards_an_unreachable_peer_is_bounded)
{
    tcp_relay relay(0);
    transport_node sender(2);
    sender.start({ { member_id { 1 }, "127.0.0.1", relay.port() } });
    for (std::uint64_t round = 1; round <= 2000; ++round)
        sender.transport.send(member_id { 1 }, heartbeat(2, 1, round));
    const auto counters = sender.transport.counters().peers.at(member_id { 1 });
    cr_assert_eq(counters.queued, transport_limits {}.maxQueuedMessages);
    cr_assert_eq(counters.dropped, 2000 - transport_limits {}.maxQueuedMessages);
    cr_assert_eq(counters.deliverCalls, 0);
}

// Guards against an undetected partition without resets, and against calls that accumulate during it.
Test(deliver, unresponsive_peer_is_detected_and_calls_to_it_are_bounded)
{
    transport_limits limits;
    limits.responseTimeout = std::chrono::milliseconds(200);
    limits.maxQueuedMessages = 16;
    transport_node receiver(1);
    receiver.start();
    tcp_relay relay(receiver.transport.port());
    transport_node sender(2, 1, limits);
    sender.start({ { member_id { 1 }, "127.0.0.1", relay.port() } });
    sender.waitConnected(1);
    relay.setDropBytes(true);
    const auto stateOf = [&] { return sender.transport.counters().peers.at(member_id { 1 }); };
    std::uint64_t round = 0;
    while (stateOf().disconnects == 0) {
        sender.transport.send(member_id { 1 }, heartbeat(2, 1, ++round));
        std::this_thread::yield();
    }
    cr_assert_leq(stateOf().deliverCalls, limits.maxPendingDelivers);
    cr_assert_leq(stateOf().queued, limits.maxQueuedMessages);

    // Heartbeats arrive again after the network has recovered.
    relay.setDropBytes(false);
    for (bool arrived = false; !arrived; std::this_thread::sleep_for(std::chrono::milliseconds(1))) {
        sender.transport.send(member_id { 1 }, heartbeat(2, 1, ++round));
        const std::lock_guard lock(receiver.mutex);
        arrived = !receiver.envelopes.empty();
    }
}

// Guards against the loss of the newest messages instead of the oldest, and of notices before messages.
Test(send_queue, oldest_messages_are_dropped_first)
{
    transport_limits limits;
    limits.maxQueuedMessages = 3;
    limits.maxQueuedNotices = 2;
    send_queue queue(limits);
    std::uint64_t dropped = 0;
    for (std::uint64_t round = 1; round <= 5; ++round)
        dropped += queue.push(heartbeat(2, 1, round)).dropped;
    for (const auto* notice : { "a", "b", "c" })
        dropped += queue.push({ 13, {}, { notice } }).dropped;
    cr_assert_eq(dropped, 3);
    envelope content;
    cr_assert(queue.take(1 << 20, content));
    cr_assert_eq(content.configurationVersion, 13);
    cr_assert_eq(content.messages.size(), 3);
    cr_assert_eq(roundOf(content.messages.front()), 3);
    cr_assert_eq(roundOf(content.messages.back()), 5);
    cr_assert(content.notices == std::vector<std::string>({ "b", "c" }));
    cr_assert(!queue.take(1 << 20, content));
}

// Guards against a large snapshot that cannot be sent or is displaced by the next heartbeat, and against one call that
// contains a whole long queue.
Test(send_queue, bytes_are_bounded_but_one_large_message_passes)
{
    transport_limits limits;
    limits.maxQueuedBytes = 10000;
    limits.maxMessageBytes = 100000;
    send_queue queue(limits);
    const auto withSnapshot = [](std::size_t size) {
        const snapshot_request body { { 1, 1, {}, std::string(size, 'x') }, 1 };
        return envelope { 1, { { replication_scope::Fleet, { member_id { 1 }, 1, member_id { 2 }, 1, body } } }, {} };
    };
    cr_assert_eq(queue.push(withSnapshot(9000)).dropped, 0);
    cr_assert_eq(queue.push(withSnapshot(50000)).dropped, 0);
    cr_assert_eq(queue.push(withSnapshot(200000)).dropped, 1);
    cr_assert_eq(queue.push(heartbeat(1, 2, 1)).dropped, 0);
    cr_assert_eq(queue.push(withSnapshot(60000)).dropped, 1);
    cr_assert_eq(queue.push(withSnapshot(5000)).dropped, 1);
    cr_assert_eq(queue.size(), 3);
    envelope first;
    cr_assert(queue.take(1, first));
    cr_assert_eq(first.messages.size(), 1);
    cr_assert_eq(roundOf(first.messages[0]), 1);
    envelope second;
    cr_assert(queue.take(1, second));
    cr_assert_eq(sizeOf(second.messages[0]), sizeOf(withSnapshot(60000).messages[0]));
    envelope third;
    cr_assert(queue.take(1, third));
    cr_assert(!queue.take(1, third));
}

// Guards against a heartbeat that exceeds the byte budget of a node: 7 KB per second for two peers, with one heartbeat
// and one response every 300 ms, are 1,050 bytes per heartbeat and response.
Test(deliver, heartbeat_and_response_fit_the_byte_budget)
{
    transport_node follower(1);
    follower.start();
    transport_node leader(2);
    leader.start({ follower.address(1) });
    leader.waitConnected(1);
    follower.transport.setPeers({ leader.address(2) });
    follower.waitConnected(2);
    const auto bytesOf = [](const transport_node& node, std::uint64_t id) {
        const auto counters = node.transport.counters().peers.at(member_id { id });
        return counters.bytesIn + counters.bytesOut;
    };
    const auto before = bytesOf(leader, 1);
    constexpr std::uint64_t count = 50;
    for (std::uint64_t round = 1; round <= count; ++round) {
        leader.transport.send(member_id { 1 }, heartbeat(2, 1, 1000000 + round));
        follower.wait([&] { return follower.envelopes.size() == round; });
        const message response { member_id { 1 }, 1, member_id { 2 }, 7,
            append_response { true, 4711, 1000000 + round } };
        follower.transport.send(member_id { 2 }, { 12, { { replication_scope::Domain, response } }, {} });
        leader.wait([&] { return leader.envelopes.size() == round; });
    }
    const auto perPair = (bytesOf(leader, 1) - before) / count;
    cr_log_info("bytes of a heartbeat and its response: %lu", static_cast<unsigned long>(perPair));
    cr_assert_leq(perPair, 400);
}
