#include "tests/transport/transport_node.h"

#include "chervilport/core/chervilport_error.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

/// Connects a node to a server and sends from it; expects that the server refuses it and processes nothing.
void expectHelloRefused(transport_node& refusedNode)
{
    transport_node server(1);
    server.start();
    refusedNode.start({ server.address(1) });
    refusedNode.transport.send(member_id { 1 }, heartbeat(2, 1, 1));
    refusedNode.forward(1, "/v1/jobs", std::chrono::milliseconds(60000));
    refusedNode.wait([&] { return !refusedNode.results.empty(); });
    refusedNode.waitCounters(
        [](const transport_counters& counters) { return counters.peers.at(member_id { 1 }).refusedByPeer >= 2; });
    const auto counters = server.transport.counters();
    cr_assert_geq(counters.refusals, 2);
    server.transport.stop();
    cr_assert(server.envelopes.empty());
    cr_assert(server.calls.empty());
    cr_assert(std::get<forward_failure>(refusedNode.results[0]).outcome == run_outcome::NotRun);
    cr_assert_eq(refusedNode.transport.counters().peers.at(member_id { 1 }).connects, 0);
}

} // namespace

// Guards against an instance of another cluster, or an intruder, that takes part in replication.
Test(hello, wrong_secret_is_refused)
{
    transport_node refusedNode(2, 1, limitsWithoutTimeout(), "Secret");
    expectHelloRefused(refusedNode);
}

Test(hello, empty_secret_is_refused)
{
    transport_node refusedNode(2, 1, limitsWithoutTimeout(), "");
    expectHelloRefused(refusedNode);
}

Test(hello, wrong_cluster_is_refused)
{
    transport_node refusedNode(2, 1, limitsWithoutTimeout(), "secret", "other");
    expectHelloRefused(refusedNode);
}

// Guards against two protocol versions that interpret the same bytes differently.
Test(hello, other_protocol_version_is_refused)
{
    transport_node refusedNode(2, 1, limitsWithoutTimeout(), "secret", "cluster", 2);
    expectHelloRefused(refusedNode);
}

// Guards against two instances that are configured with the same id and would vote twice.
Test(hello, own_id_is_refused)
{
    transport_node duplicate(1);
    expectHelloRefused(duplicate);
}

// Guards against a process of an earlier incarnation that still runs and acknowledges entries.
Test(hello, older_incarnation_is_refused_and_its_connection_ended)
{
    transport_node server(1);
    server.start();
    transport_node older(2, 5);
    older.start({ server.address(1) });
    older.waitConnected(1);
    older.transport.send(member_id { 1 }, heartbeat(2, 1, 1));
    server.wait([&] { return server.envelopes.size() == 1; });

    transport_node newer(2, 6);
    newer.start({ server.address(1) });
    newer.waitConnected(1);
    older.waitCounters(
        [](const transport_counters& counters) { return counters.peers.at(member_id { 1 }).refusedByPeer > 0; });
    newer.transport.send(member_id { 1 }, heartbeat(2, 1, 2));
    server.wait([&] { return server.envelopes.size() == 2; });
    cr_assert_eq(older.transport.counters().peers.at(member_id { 1 }).connects, 1);
}

// Guards against messages to another instance that reuses the address of a replaced peer.
Test(hello, other_instance_at_the_address_receives_nothing)
{
    transport_node server(3);
    server.start();
    transport_node node(1);
    node.start({ server.address(2) });
    node.transport.send(member_id { 2 }, heartbeat(1, 2, 1));
    server.waitCounters([](const transport_counters& counters) { return counters.accepted >= 2; });
    server.transport.stop();
    cr_assert(server.envelopes.empty());
    cr_assert_eq(node.transport.counters().peers.at(member_id { 2 }).connects, 0);
}

// Guards against name lookups, which block and depend on a service that may be unavailable.
Test(hello, names_are_refused)
{
    transport_node node(1);
    cr_assert_throw(node.transport.start("localhost", 0, {}), chervilport_error);
    cr_assert_throw(node.transport.setPeers({ { member_id { 2 }, "example.org", 1 } }), chervilport_error);
}

// Guards against a start that reports success although the port is in use.
Test(hello, port_in_use_is_reported)
{
    transport_node first(1);
    first.start();
    transport_node second(2);
    cr_assert_throw(second.transport.start("127.0.0.1", first.transport.port(), {}), chervilport_error);
}
