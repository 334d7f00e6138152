#pragma once

#include "chervilport/batch/batch_command.h"
#include "chervilport/instance/proposal_result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace chervilport {

/// Collects commands into batches, so that many commands share one disk write. At most one batch is in flight.
class command_queue : public std::enable_shared_from_this<command_queue> {
public:
    /// Called once with the result of a command. A committed command has been applied by then.
    using callback = std::function<void(proposal_result)>;
    /// Proposes an encoded batch to the replication group.
    using propose_function = std::function<void(std::string, callback)>;

    /// Creates an empty queue.
    command_queue(asio::io_context&, propose_function);
    ~command_queue();

    /// Adds a command to the next batch.
    void add(batch::batch_command, callback);

private:
    struct entry {
        batch::batch_command command;
        callback done;
    };

    void schedule();
    void flush();
    void complete(const std::vector<entry>&, proposal_result);

    struct timer;
    std::unique_ptr<timer> m_timer;
    propose_function m_propose;
    std::vector<entry> m_waiting;
    std::size_t m_inFlight = 0;
    bool m_scheduled = false;
};

} // namespace chervilport
