#pragma once

#include "chervilport/instance/control_call.h"
#include "chervilport/instance/forward_outcome.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

class configuration_controller;
class job_controller;
class replica_group;
class worker_controller;

/// Functions that the owner provides to the control interface.
struct control_api_hooks {
    /// Sends a call to another instance; the callback runs once on the control thread.
    std::function<void(std::uint64_t instance, const control_call&, std::function<void(forward_outcome)>)> forward;
    /// Returns the instances of a failure domain; empty when the domain is unknown.
    std::function<std::vector<std::uint64_t>(std::string_view failureDomain)> instancesOf;
    /// Returns the status document of this instance as JSON text.
    std::function<std::string()> describeStatus;
    /// Returns the encoded capacity of this failure domain; called on its leader.
    std::function<std::string()> describeCapacity;
    /// Applies an encoded step of a claim on the leader and passes on the encoded reply.
    std::function<void(std::string step, std::function<void(http_response)> reply)> applyClaim;
};

/// Parts of an instance that the control interface uses.
struct control_api_parts {
    /// Failure domain of the instance.
    std::string failureDomain;
    /// Replication group of the domain log.
    std::shared_ptr<replica_group> domainGroup;
    /// Replication group of the fleet log; null on an instance that is not a member.
    std::shared_ptr<replica_group> fleetGroup;
    /// Instances that are members of the fleet log, without this one.
    std::vector<std::uint64_t> fleetInstances;
    /// Serves jobs.
    std::shared_ptr<job_controller> jobs;
    /// Serves announcements of workers.
    std::shared_ptr<worker_controller> workers;
    /// Serves the configuration.
    std::shared_ptr<configuration_controller> configuration;
};

/// The control interface: routes each call to the controller that serves it, on this instance or on the leader of the
/// domain. Retries a call until its deadline while no leader is known. Runs on the control thread.
class control_api : public std::enable_shared_from_this<control_api> {
public:
    /// Creates the interface of an instance.
    control_api(asio::io_context&, control_api_parts, control_api_hooks);

    /// Path of the steps of claims; internal, for instances only.
    static constexpr std::string_view claimPath = "/internal/claims";
    /// Path of the capacity of a failure domain; internal, for instances only.
    static constexpr std::string_view capacityPath = "/internal/capacity";

    /// Forwards a call to another failure domain. Replies exactly once.
    void handleInDomain(const std::shared_ptr<control_call>&, std::string_view failureDomain);

    /// Serves or forwards a call. Replies exactly once.
    void handle(const std::shared_ptr<control_call>&);

private:
    void serve(const std::shared_ptr<control_call>&);
    void serveJobs(const std::shared_ptr<control_call>&, std::string_view path, std::string_view query);
    void serveClaim(const std::shared_ptr<control_call>&);
    void serveAnnouncement(const std::shared_ptr<control_call>&);
    void serveConfiguration(const std::shared_ptr<control_call>&, std::string_view path);
    void onLeader(const std::shared_ptr<control_call>&, const std::function<void()>& action);
    void onFleetLeader(const std::shared_ptr<control_call>&, const std::function<void()>& action);
    void forwardTo(const std::shared_ptr<control_call>&, std::uint64_t instance);
    void forwardToDomain(const std::shared_ptr<control_call>&, std::string_view failureDomain);
    void retryLater(const std::shared_ptr<control_call>&, const std::string& reason);

    asio::io_context& m_context;
    control_api_parts m_parts;
    control_api_hooks m_hooks;
    std::uint64_t m_forwardRotation = 0;
};

} // namespace chervilport
