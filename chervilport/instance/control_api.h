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

/// What the control interface needs from its owner.
struct control_api_hooks {
    /// Sends a call to another instance; the callback runs once on the control thread.
    std::function<void(std::uint64_t instance, const control_call&, std::function<void(forward_outcome)>)> forward;
    /// Returns the instances of a failure domain, empty when it is unknown.
    std::function<std::vector<std::uint64_t>(std::string_view failureDomain)> instancesOf;
    /// Returns the status document of this instance as JSON text.
    std::function<std::string()> describeStatus;
    /// Returns the capacity of this failure domain, encoded; called on its leader.
    std::function<std::string()> describeCapacity;
    /// Applies an encoded step of a claim on the leader and answers with the encoded reply.
    std::function<void(std::string step, std::function<void(http_response)> reply)> applyClaim;
};

/// The parts of an instance that the control interface works with.
struct control_api_parts {
    /// Failure domain of the instance.
    std::string failureDomain;
    /// Log of the domain.
    std::shared_ptr<replica_group> domainGroup;
    /// Log of the fleet; null on an instance that takes no part in it.
    std::shared_ptr<replica_group> fleetGroup;
    /// Instances that take part in the fleet log, this one left out.
    std::vector<std::uint64_t> fleetInstances;
    /// Serves jobs.
    std::shared_ptr<job_controller> jobs;
    /// Serves announcements of workers.
    std::shared_ptr<worker_controller> workers;
    /// Serves the configuration.
    std::shared_ptr<configuration_controller> configuration;
};

/// The control interface: routes each call to the controller that serves it, here or on the instance that leads the
/// domain. While no leader is known a call waits within its deadline. Runs on the control thread.
class control_api : public std::enable_shared_from_this<control_api> {
public:
    /// Creates the interface of an instance.
    control_api(asio::io_context&, control_api_parts, control_api_hooks);

    /// Path of the steps of claims, for other instances and for this one, but not for callers.
    static constexpr std::string_view claimPath = "/internal/claims";
    /// Path of the capacity of a failure domain, for other instances.
    static constexpr std::string_view capacityPath = "/internal/capacity";

    /// Answers a call exactly once by the leader of another failure domain.
    void handleInDomain(const std::shared_ptr<control_call>&, std::string_view failureDomain);

    /// Answers a call exactly once.
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
