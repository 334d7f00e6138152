#pragma once

#include "chervilport/configuration/domain_capacity.h"
#include "chervilport/core/log_time.h"
#include "chervilport/instance/control_call.h"
#include "chervilport/instance/control_plane_hooks.h"
#include "chervilport/instance/forward_outcome.h"
#include "chervilport/instance/instance_storage.h"
#include "chervilport/requests/claim_step.h"
#include "chervilport/requests/claim_store.h"
#include "chervilport/scheduling/command.h"
#include "chervilport/settings/settings.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

class configuration_controller;
class control_api;
class domain_controller;
class job_controller;
class metric_registry;
class peer_network;
class replica_group;
class worker_controller;
struct production_copy;
struct replica_status;

/// Owns and connects the replicated logs and controllers of an instance. All functions are called on the control
/// thread, except the constructor, `start` and `stopPeers`, which are called while that thread does not run, and those
/// marked as safe on any thread.
class control_core : public std::enable_shared_from_this<control_core> {
public:
    /// Opens the data folder. Throws chervilport_error of kind StorageFailure.
    control_core(asio::io_context&, const settings&, metric_registry&, control_plane_hooks);
    ~control_core();

    /// Loads the stored state and joins the replication groups. Throws chervilport_error.
    void start();

    /// Stops the timers; pending calls fail as unavailable.
    void stopTimers();

    /// Closes the connections to other instances.
    void stopPeers();

    /// Starts to transfer leadership of both logs. Returns false when no transfer was started.
    bool beginLeadershipTransfer();

    /// Returns whether this instance leads none of its replication groups.
    bool leadsNoGroup() const;

    /// Handles a call to the control interface.
    void handle(const std::shared_ptr<control_call>&);

    /// Writes a step of a claim to the domain log through its leader. `done` is called once.
    void submitClaim(const claim_step&, log_duration timeout, std::function<void(claim_store_reply)> done);

    /// Sends a notice to all other instances of the domain.
    void notifyDomain(const std::string& notice);

    /// Sends a notice to the leader of the domain, which may be this instance.
    void notifyLeader(const std::string& notice);

    /// Sends a notice to one instance, which may be this one.
    void notify(std::uint64_t instance, const std::string& notice);

    /// Updates the metrics of the traffic with other instances. Safe on any thread.
    void recordGauges();

    /// Returns the incarnation of this instance. Safe on any thread.
    std::uint64_t incarnation() const { return m_storage.incarnation(); }

    /// Returns whether this instance knows a leader of the domain and its storage has not failed. Safe on any thread.
    bool isReady() const { return m_ready; }

private:
    void buildDomain();
    void buildFleet();
    void buildControllers();
    void buildPeers();
    void domainStatusChanged(const replica_status&);
    void productionChanged(const production_copy&);
    void proposeConfiguration();
    void observe(std::span<const command>) const;
    void observeConfiguration(std::uint64_t instance, std::uint64_t version);
    void applyClaim(std::string_view step, std::function<void(http_response)> reply);
    void forward(std::uint64_t instance, const control_call&, const std::function<void(forward_outcome)>&);
    void collectCapacity(const std::function<void(std::vector<domain_capacity>)>&);
    domain_capacity ownCapacity() const;
    std::string describeStatus() const;
    std::vector<std::uint64_t> instancesOf(std::string_view failureDomain) const;
    std::vector<std::uint64_t> fleetInstances() const;
    bool isFleetMember() const;

    asio::io_context& m_context;
    settings m_settings;
    metric_registry& m_metrics;
    control_plane_hooks m_hooks;
    instance_storage m_storage;
    std::shared_ptr<peer_network> m_peers;
    std::shared_ptr<replica_group> m_domainGroup;
    std::shared_ptr<replica_group> m_fleetGroup;
    std::shared_ptr<domain_controller> m_domain;
    std::shared_ptr<configuration_controller> m_configuration;
    std::shared_ptr<worker_controller> m_workers;
    std::shared_ptr<job_controller> m_jobs;
    std::shared_ptr<control_api> m_api;
    std::atomic<bool> m_ready { false };
    bool m_leading = false;
    bool m_fetching = false;
};

} // namespace chervilport
