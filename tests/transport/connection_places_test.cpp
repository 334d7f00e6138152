#include "tests/transport/transport_node.h"

#include <criterion/criterion.h>
#include <memory>

using namespace chervilport;

namespace {

constexpr std::size_t sharedPlaces = 2;

transport_limits limitsOfServer()
{
    auto limits = limitsWithoutTimeout();
    limits.maxAcceptedConnections = sharedPlaces;
    return limits;
}

/// Instances without a reserved place that take all shared places of a server, and one more that is refused.
struct crowd {
    explicit crowd(const transport_node& server)
    {
        for (std::uint64_t i = 0; i < sharedPlaces; ++i) {
            nodes.push_back(std::make_unique<transport_node>(firstId + i));
            nodes.back()->start({ server.address(1) });
            nodes.back()->waitConnected(1);
        }
        nodes.push_back(std::make_unique<transport_node>(firstId + sharedPlaces));
        nodes.back()->start({ server.address(1) });
        nodes.back()->waitCounters(
            [](const transport_counters& counters) { return counters.peers.at(member_id { 1 }).refusedByPeer > 0; });
    }

    static constexpr std::uint64_t firstId = 100;
    std::vector<std::unique_ptr<transport_node>> nodes;
};

} // namespace

// Guards against a group that has no leader any more: the other instances of a large site take the place of a member
// that restarts, so that its votes and responses never arrive.
Test(connectionPlaces, memberConnectsWhileOtherInstancesTakeAllPlaces)
{
    transport_node server(1, 1, limitsOfServer());
    transport_node member(2);
    member.start();
    server.start({ member.address(2) });
    const crowd others(server);
    member.transport.setPeers({ server.address(1) });
    member.waitConnected(1);
    member.transport.send(member_id { 1 }, heartbeat(2, 1, 1));
    server.wait([&] { return server.envelopes.size() == 1; });
    cr_assert_eq(server.transport.counters().openShared, sharedPlaces);
    cr_assert_eq(server.transport.counters().openReserved, 1);
}

// Guards against a new instance that can never join the group, because no member knows it yet.
Test(connectionPlaces, instanceThatMayJoinConnectsWhileOtherInstancesTakeAllPlaces)
{
    constexpr std::uint64_t joiningId = 2;
    transport_callbacks callbacks;
    callbacks.hasReservedPlace = [](member_id peer) { return peer == member_id { joiningId }; };
    transport_node server(1, 1, limitsOfServer(), std::move(callbacks));
    server.start();
    const crowd others(server);
    transport_node joining(joiningId);
    joining.start({ server.address(1) });
    joining.waitConnected(1);
}

// Guards against an instance that is refused because its own earlier connection, which is broken without a reset,
// still takes the last place.
Test(connectionPlaces, newConnectionOfAnInstanceTakesThePlaceOfItsEarlierOne)
{
    transport_node server(1, 1, limitsOfServer());
    server.start();
    const crowd others(server);
    transport_node again(crowd::firstId, 2);
    again.start({ server.address(1) });
    again.waitConnected(1);
    cr_assert_eq(server.transport.counters().openShared, sharedPlaces);
}
