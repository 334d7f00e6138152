#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"
#include "chervilport/instance/worker_announcement.h"
#include "chervilport/instance/worker_lease.h"
#include "chervilport/scheduling/command.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace asio {
class io_context;
}

namespace chervilport {

class domain_controller;
class replica_group;

/// Settings and functions that the worker controller uses.
struct worker_controller_config {
    /// Failure domain of this instance.
    std::string failureDomain;
    /// Duration of a lease.
    std::chrono::milliseconds lease { 30'000 };
    /// Time between two announcements of a worker.
    std::chrono::milliseconds renewal { 10'000 };
    /// Largest difference between the clock rates of two machines, in thousandths.
    std::int32_t clockRateMargin = 10;
    /// Sends a request to the HTTP address of a worker. The response is ignored, because workers report by
    /// announcement.
    std::function<void(const std::string& worker, http_request)> send;
};

/// Manages the leases of the workers of a domain and sends commands to the workers. Active only on the leader of the
/// domain log; runs on the control thread.
class worker_controller : public std::enable_shared_from_this<worker_controller> {
public:
    /// Called once with the response to an announcement.
    using reply_callback = std::function<void(http_response)>;

    /// Creates the controller.
    worker_controller(asio::io_context&, worker_controller_config, std::shared_ptr<domain_controller>,
        std::shared_ptr<replica_group>);
    ~worker_controller();

    /// Starts to check leases and to resend commands.
    void start();

    /// Stops the timers.
    void stop();

    /// Handles an announcement. The lease is granted only after all changes in the announcement are committed.
    void announce(const worker_announcement&, reply_callback);

    /// Sends commands to workers at once.
    void dispatch(std::span<const command>);

    /// Handles a change of leadership. A new leader starts all leases at the current time, because the grants of its
    /// predecessor are not replicated.
    void leadershipChanged(bool leading);

    /// Returns the number of workers that hold a lease.
    std::size_t leases() const { return m_leases.size(); }

private:
    struct timer;

    void scheduleTick();
    void tick();
    void proposeLossOfExpiredWorkers(log_time now);
    void submitReports(const worker_announcement&, const std::function<void(bool)>& done);
    void renewLease(const worker_announcement&, const reply_callback&);
    http_response leaseResponse(const nlohmann::json& acknowledged) const;
    void grantLease(const worker_announcement&, const reply_callback&);

    worker_controller_config m_config;
    std::unique_ptr<timer> m_timer;
    std::shared_ptr<domain_controller> m_domain;
    std::shared_ptr<replica_group> m_group;
    std::map<std::string, worker_lease, std::less<>> m_leases;
    log_time m_leadingSince;
    /// Number of the last batch of commands; never reset, so that it rises within each epoch.
    std::uint64_t m_lastBatch = 0;
    bool m_leading = false;
    bool m_stopped = false;
};

} // namespace chervilport
