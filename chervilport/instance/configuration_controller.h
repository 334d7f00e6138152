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

/// A production document with its version.
struct production_copy {
    /// Version; 0 when no document was promoted yet.
    std::uint64_t version = 0;
    /// The document.
    std::string document;
};

/// What the configuration controller needs from its owner; called on the control thread.
struct configuration_hooks {
    /// Tells that a newer production document is known to this instance.
    std::function<void(const production_copy&)> productionChanged;
    /// Collects the capacity of all failure domains that can be reached, for a proof.
    std::function<void(std::function<void(std::vector<domain_capacity>)>)> collectCapacity;
};

/// Owner of the fleet log's state machine on fleet voters, and of the copy of the production document on every
/// instance. The copy only moves to higher versions. Runs on the control thread.
class configuration_controller : public std::enable_shared_from_this<configuration_controller> {
public:
    /// Called once with the answer to a call.
    using reply_callback = std::function<void(http_response)>;

    /// Creates the controller.
    explicit configuration_controller(configuration_hooks);

    /// Connects the controller to the fleet log, on instances that take part in it.
    void attach(const std::shared_ptr<replica_group>&);

    /// Applies a committed command of the fleet log.
    void apply(std::string_view payload);

    /// Returns the encoded state of the fleet log.
    std::string takeSnapshot() const;

    /// Replaces the state of the fleet log.
    void loadSnapshot(std::string_view data);

    /// Follows a change of role in the fleet log.
    void statusChanged(const replica_status&);

    /// Takes a production document from a peer; an older or equal version is ignored.
    void adopt(const production_copy&);

    /// Serves a call below `/v1/config` on the leader of the fleet log. Throws chervilport_error for wrong calls.
    void serve(const http_request&, std::string_view path, const reply_callback&);

    /// Returns the production document that this instance knows.
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
    configuration_answer m_lastAnswer;
    production_copy m_production;
    bool m_leading = false;
};

} // namespace chervilport
