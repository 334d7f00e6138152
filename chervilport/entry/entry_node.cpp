#include "chervilport/entry/entry_node.h"

#include "chervilport/control/node_address.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/peer_network.h"

#include <random>
#include <utility>

namespace chervilport {

namespace {

    constexpr const char* clusterName = "site";

    member_id newMemberId(const node_settings& values)
    {
        std::random_device source;
        return statelessMember(values.ip, values.peerPort, static_cast<std::uint16_t>(source()));
    }

    settings linkSettings(const node_settings& values, member_id self)
    {
        settings link;
        link.instanceId = static_cast<std::uint64_t>(self);
        link.clusterId = clusterName;
        link.peerListen = values.bindIp + ':' + std::to_string(values.peerPort);
        return link;
    }

} // namespace

entry_node::entry_node(asio::io_context& context, const node_settings& values)
    : m_context(context)
    , m_settings(values)
{
    const auto self = newMemberId(values);
    peer_network_hooks hooks;
    hooks.receive = [](replication_scope, const message&) {};
    hooks.receiveNotice = [](std::uint64_t, const std::string&) {};
    hooks.observeConfiguration = [](std::uint64_t, std::uint64_t) {};
    hooks.serve = [](const std::shared_ptr<control_call>& call) { call->reply(makeNotLeaderResponse(std::nullopt)); };
    m_network = std::make_shared<peer_network>(m_context, linkSettings(values, self), 1, std::move(hooks));
    m_relay = std::make_shared<leader_relay>(m_context, *m_network, self);
    m_relay->membersChanged = [this](const std::vector<member_id>&) { updatePeers(); };
}

entry_node::~entry_node() = default;

void entry_node::start()
{
    m_network->start();
    setSeeds(m_settings.seeds);
    m_relay->start();
}

void entry_node::setSeeds(const std::vector<peer_address>& seeds)
{
    m_relay->setSeeds(idsOf(seeds));
    updatePeers();
}

void entry_node::stop()
{
    m_relay->stop();
    m_network->stop();
}

void entry_node::relay(http_request request, std::string name, log_time deadline, leader_relay::callback done)
{
    m_relay->relay(std::move(request), std::move(name), deadline, std::move(done));
}

bool entry_node::isReady() const { return m_relay->hasLeader(monotonicNow()); }

void entry_node::updatePeers() { m_network->setPeers(addressesOf(m_relay->candidates())); }

} // namespace chervilport
