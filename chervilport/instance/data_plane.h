#pragma once

#include "chervilport/http/http_message.h"
#include "chervilport/http/http_responder.h"
#include "chervilport/instance/data_plane_hooks.h"
#include "chervilport/settings/settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace chervilport {

class http_client;
class metric_registry;

/// The data plane of an instance: upstreams of the domain, slot shares and the request pipeline. All functions are
/// called on the io thread.
class data_plane {
public:
    /// Creates a data plane. `incarnation` is higher than that of any earlier process of the instance.
    data_plane(asio::io_context&, const settings&, std::uint64_t incarnation, http_client&, metric_registry&,
        data_plane_hooks);
    ~data_plane();

    data_plane(const data_plane&) = delete;
    data_plane& operator=(const data_plane&) = delete;

    /// Starts to report slot shares and to broadcast announcements.
    void start();

    /// Stops the timers.
    void stop();

    /// Refuses new requests; requests accepted earlier are completed.
    void beginDrain();

    /// Routes a request to an executor.
    void handleRequest(http_request, http_responder);

    /// Handles the announcement of an executor and returns the response. Throws chervilport_error when the announcement
    /// is invalid.
    http_response announceExecutor(std::string_view body);

    /// Handles a notice from an instance of the domain.
    void receive(std::uint64_t instance, const routing_notice&);

    /// Handles a change of leadership in the domain. `term` 1 means that there was no earlier leader.
    void leadershipChanged(bool leading, std::uint64_t term);

    /// Replaces the set of workspaces that requests may name.
    void setWorkspaces(std::set<std::string, std::less<>> names);

    /// Returns the known upstreams as JSON for operators.
    std::string describeUpstreams() const;

    /// Drains an executor: no instance of the domain sends it new requests. Returns false when the executor is unknown.
    bool drainUpstream(std::string_view address);

    /// Returns the number of unfinished requests.
    std::size_t inFlight() const;

    /// Updates the gauges of upstreams, slots and queues.
    void recordGauges();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
