#include "chervilport/control/command_queue.h"

#include "chervilport/batch/batch_codec.h"
#include "chervilport/instance/monotonic_now.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace chervilport {

namespace {

    /// Time for which commands are collected into a batch before it is proposed.
    constexpr std::chrono::milliseconds collectTime { 3 };

} // namespace

struct command_queue::timer {
    explicit timer(asio::io_context& context)
        : flush(context)
    {
    }
    asio::steady_timer flush;
};

command_queue::command_queue(asio::io_context& context, propose_function propose)
    : m_timer(std::make_unique<timer>(context))
    , m_propose(std::move(propose))
{
}

command_queue::~command_queue() = default;

void command_queue::add(batch::batch_command command, callback done)
{
    m_waiting.push_back({ std::move(command), std::move(done) });
    schedule();
}

void command_queue::schedule()
{
    if (m_scheduled || m_inFlight > 0 || m_waiting.empty())
        return;
    m_scheduled = true;
    m_timer->flush.expires_after(collectTime);
    m_timer->flush.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->m_scheduled = false;
        self->flush();
    });
}

void command_queue::flush()
{
    if (m_waiting.empty() || m_inFlight > 0)
        return;
    auto entries = std::make_shared<std::vector<entry>>(std::exchange(m_waiting, {}));
    m_inFlight = entries->size();
    batch::command_batch batch;
    batch.timeMs = wallMs();
    for (const auto& each : *entries)
        batch.commands.push_back(each.command);
    m_propose(batch::encodeBatch(batch), [weak = weak_from_this(), entries](proposal_result result) {
        if (const auto self = weak.lock())
            self->complete(*entries, result);
    });
}

void command_queue::complete(const std::vector<entry>& entries, proposal_result result)
{
    m_inFlight = 0;
    for (const auto& each : entries)
        each.done(result);
    schedule();
}

} // namespace chervilport
