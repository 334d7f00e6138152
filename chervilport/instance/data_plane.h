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

/// The request part of an instance: upstreams of the domain, slot shares and the request path. All functions are called
/// on the io thread.
class data_plane {
public:
    /// Creates a data plane. `incarnation` is higher than that of any earlier process of the instance.
    data_plane(asio::io_context&, const settings&, std::uint64_t incarnation, http_client&, metric_registry&,
        data_plane_hooks);
    ~data_plane();

    data_plane(const data_plane&) = delete;
    data_plane& operator=(const data_plane&) = delete;

    /// Starts to report shares and to spread announcements.
    void start();

    /// Stops the timers.
    void stop();

    /// Refuses new requests from now on; those accepted before are finished.
    void beginDrain();

    /// Takes a request to an executor.
    void handleRequest(http_request, http_responder);

    /// Takes the announcement of an executor and returns the answer. Throws chervilport_error on a wrong one.
    http_response announceExecutor(std::string_view body);

    /// Takes a notice of an instance of the domain.
    void receive(std::uint64_t instance, const routing_notice&);

    /// Follows leadership in the domain. `term` 1 means that there was no earlier leader.
    void leadershipChanged(bool leading, std::uint64_t term);

    /// Replaces the names of workspaces that requests may use.
    void setWorkspaces(std::set<std::string, std::less<>> names);

    /// Returns the upstreams known, as JSON for operators.
    std::string describeUpstreams() const;

    /// Asks that an executor gets no new work from any instance of the domain. Returns false if it is unknown.
    bool drainUpstream(std::string_view address);

    /// Returns the number of requests without an answer.
    std::size_t inFlight() const;

    /// Writes gauges of upstreams, slots and queues.
    void recordGauges();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
