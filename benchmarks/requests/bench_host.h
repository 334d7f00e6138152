#pragma once

#include "chervilport/http/http_client.h"
#include "chervilport/http/http_listener.h"
#include "chervilport/requests/request_pipeline.h"
#include "chervilport/requests/share_exchange.h"

#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace chervilport {

/// Addresses of a host.
struct bench_host_options {
    /// Name of the host.
    std::string name = "host1";
    /// Port of the loopback address.
    std::uint16_t port = 0;
    /// Addresses of all hosts, this one included; the first leads.
    std::vector<std::string> hosts;
};

/// The request path of an instance in small: listener, pipeline, client and slot shares as in an instance; claims are
/// kept by the first host in memory instead of a replicated log.
class bench_host {
public:
    /// Creates a host that is not open.
    bench_host(asio::io_context&, bench_host_options);

    /// Opens the listener.
    void start();

    /// Stops as planned and then ends the io_context.
    void stop();

private:
    bool leads() const;
    request_ports makeRequestPorts();
    share_exchange_ports makeSharePorts();
    void handle(http_request, http_responder);
    void announce(const http_request&, const http_responder&);
    void submitClaim(const claim_step&, log_duration, std::function<void(claim_store_reply)>);
    void postToLeader(const std::string& target, std::string body, std::function<void(const http_result&)>);
    void pollLater();

    asio::io_context& m_context;
    bench_host_options m_options;
    http_client m_client;
    asio::steady_timer m_timer;
    routing_state m_routing;
    claim_state m_claims;
    std::shared_ptr<request_pipeline> m_pipeline;
    std::shared_ptr<share_exchange> m_shares;
    http_listener m_listener;
};

} // namespace chervilport
