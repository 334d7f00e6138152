#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"
#include "chervilport/instance/control_plane_hooks.h"
#include "chervilport/requests/claim_step.h"
#include "chervilport/requests/claim_store.h"
#include "chervilport/settings/settings.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervilport {

class metric_registry;

/// The control plane of an instance: replicated logs, controllers and the control interface. Runs on a separate thread,
/// so that a synced write never delays a request to an executor. All functions are safe on any thread.
class control_plane {
public:
    /// Creates a stopped control plane.
    control_plane(const settings&, metric_registry&, control_plane_hooks);
    ~control_plane();

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// Loads the stored state and starts the thread. Throws chervilport_error when the state cannot be loaded.
    void start();

    /// Transfers leadership and calls `done` once this instance leads no group or the timeout expires.
    void prepareStop(std::chrono::milliseconds timeout, std::function<void()> done);

    /// Stops the thread. Pending calls fail as unavailable.
    void stop();

    /// Handles a call to the control interface. `reply` is called once, on the control thread.
    void handle(http_request, std::chrono::milliseconds remaining, std::function<void(http_response)> reply);

    /// Sends a notice about routing to all other instances of the domain; it may be lost.
    void notifyDomain(std::string notice);

    /// Sends a notice about routing to the leader of the domain, which may be this instance; it may be lost.
    void notifyLeader(std::string notice);

    /// Sends a notice about routing to one instance, which may be this one; it may be lost.
    void notifyInstance(std::uint64_t instance, std::string notice);

    /// Writes a step of a claim to the domain log through its leader. `done` is called once, on the control thread.
    void submitClaim(claim_step, log_duration timeout, std::function<void(claim_store_reply)> done);

    /// Updates the metrics of the traffic with other instances.
    void recordGauges();

    /// Returns the incarnation of this instance.
    std::uint64_t incarnation() const;

    /// Returns whether this instance knows a leader of the domain and its storage has not failed.
    bool isReady() const;

private:
    struct implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace chervilport
