#pragma once

#include "chervilport/configuration/configuration_state.h"
#include "chervilport/configuration/domain_capacity.h"
#include "chervilport/core/log_time.h"
#include "chervilport/http/http_message.h"
#include "chervilport/instance/log_clock_source.h"
#include "chervilport/instance/proposal_result.h"
#include "chervilport/scheduling/event.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervilport {

class replica_group;
struct replica_status;

/// A configuration document in production with its version.
struct production_copy {
    /// Version; 0 when no document was promoted yet.
    std::uint64_t version = 0;
    /// The document.
    std::string document;
};

/// Functions that the owner provides to the configuration controller; called on the control thread.
struct configuration_hooks {
    /// Called when this instance adopts a newer production document.
    std::function<void(const production_copy&)> productionChanged;
    /// Collects the capacity of all reachable failure domains, for a proof.
    std::function<void(std::function<void(std::vector<domain_capacity>)>)> collectCapacity;
};

/// Owns the state machine of the fleet log on fleet voters, and the copy of the production document on every instance.
/// The version of the copy never decreases. Runs on the control thread.
class configuration_controller : public std::enable_shared_from_this<configuration_controller> {
public:
    /// Called once with the response to a call.
    using reply_callback = std::function<void(http_response)>;

    /// Creates the controller.
    explicit configuration_controller(configuration_hooks);

    /// Connects the controller to the fleet log, on members of the fleet log.
    void attach(const std::shared_ptr<replica_group>&);

    /// Applies a committed command of the fleet log.
    void apply(std::string_view payload);

    /// Returns the encoded state of the fleet log.
    std::string takeSnapshot() const;

    /// Replaces the state of the fleet log.
    void loadSnapshot(std::string_view data);

    /// Handles a change of role in the fleet log.
    void statusChanged(const replica_status&);

    /// Adopts a production document received from a peer; ignores an older or equal version.
    void adopt(const production_copy&);

    /// Serves a call below `/v1/config` on the leader of the fleet log. Throws chervilport_error for invalid calls.
    void serve(const http_request&, std::string_view path, const reply_callback&);

    /// Returns the newest production document that this instance has adopted.
    const production_copy& production() const { return m_production; }

private:
    void submit(const configuration_command&, const reply_callback&);
    void put(const http_request&, const reply_callback&);
    void prove(const http_request&, const reply_callback&);
    void promote(const http_request&, const reply_callback&);
    void adoptCommittedProduction();
    std::string describe() const;
    std::string describeHistory() const;

    configuration_hooks m_hooks;
    std::weak_ptr<replica_group> m_group;
    configuration_state m_state;
    log_clock_source m_clock;
    configuration_result m_lastResult;
    production_copy m_production;
    bool m_leading = false;
};

} // namespace chervilport
