#pragma once

#include "chervilport/transport/detail/packed_stream.h"
#include "chervilport/transport/detail/peer_server.h"
#include "chervilport/transport/forward_call.h"

#include <capnp/rpc-twoparty.h>
#include <peer.capnp.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chervilport {

/// A connection opened by another instance, with the state of its `hello`.
class accepted_connection {
public:
    /// Starts to serve the calls of the connection.
    accepted_connection(peer_server&, kj::Own<kj::AsyncIoStream>);
    accepted_connection(const accepted_connection&) = delete;
    accepted_connection& operator=(const accepted_connection&) = delete;
    ~accepted_connection();

    /// Resolves when the connection has to be destroyed.
    kj::Promise<void> whenDone();

    /// Handles `hello`.
    void hello(wire::Hello::Reader, wire::HelloReply::Builder);
    /// Handles `deliver`.
    void deliver(wire::Envelope::Reader);
    /// Handles `forward`.
    kj::Promise<std::unique_ptr<forward_reply>> forward(wire::Call::Reader);
    /// Handles `fetchConfiguration`.
    void fetchConfiguration(std::uint64_t knownVersion, wire::Session::FetchConfigurationResults::Builder);
    /// Ends the connection after the current iteration of the event loop.
    void close();

private:
    std::optional<wire::Refusal> checkHello(wire::Hello::Reader) const;
    bool takePlace(member_id);
    void accept(wire::Hello::Reader);
    void countTraffic(std::uint64_t bytesIn, std::uint64_t bytesOut);
    void requireCurrent() const;
    [[noreturn]] void rejectMalformed(const std::string& reason);

    peer_server& m_server;
    transport_context& m_context;
    kj::Own<kj::AsyncIoStream> m_stream;
    packed_stream m_packed;
    connection_place m_place = connection_place::Unidentified;
    std::optional<member_id> m_peer;
    std::uint64_t m_incarnation = 0;
    bool m_isHelloReceived = false;
    std::size_t m_pendingForwards = 0;
    std::uint64_t m_unidentifiedBytesIn = 0;
    std::uint64_t m_unidentifiedBytesOut = 0;
    /// Points to this object; null once it is destroyed.
    std::shared_ptr<accepted_connection*> m_self;
    kj::PromiseFulfillerPair<void> m_closed;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace chervilport
