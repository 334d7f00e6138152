#include "chervilport/control/leader_relay.h"

#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/peer_network.h"

#include <asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

peer_network_hooks idleHooks()
{
    peer_network_hooks hooks;
    hooks.receive = [](replication_scope, const message&) {};
    hooks.receiveNotice = [](std::uint64_t, const std::string&) {};
    hooks.observeConfiguration = [](std::uint64_t, std::uint64_t) {};
    hooks.serve = [](const std::shared_ptr<control_call>&) {};
    return hooks;
}

settings localSettings()
{
    settings values;
    values.peerListen = "127.0.0.1:0";
    return values;
}

} // namespace

// Guards against a call that is kept pending until its deadline by an instance without a path to a leader. This happens
// when the failure domain of the instance is cut off (docs/incidents/zone-cut-held-calls.md).
Test(leaderRelay, callsWithoutAPathAreRefusedAtOnce)
{
    asio::io_context context;
    peer_network network(context, localSettings(), 1, idleHooks());
    network.start();
    const auto relay = std::make_shared<leader_relay>(context, network, member_id { 1 });
    std::optional<relay_outcome> end;
    relay->relay({ "POST", "/job", {}, {} }, "POST /job", monotonicNow() + 60s,
        [&](relay_outcome outcome) { end = std::move(outcome); });
    // The callback runs within relay(), without waiting for the deadline.
    cr_assert(end.has_value());
    cr_assert(!end->response.has_value());
    cr_assert(!end->mayHaveRun);
    cr_assert(!relay->hasLeader(monotonicNow()));
    relay->stop();
    network.stop();
}
