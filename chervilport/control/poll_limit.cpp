#include "chervilport/control/poll_limit.h"

#include <utility>

namespace chervilport {

poll_limit::poll_limit(worker_client client, std::size_t maxPending)
    : m_client(std::move(client))
    , m_maxPending(maxPending)
{
}

worker_client poll_limit::client()
{
    auto limited = m_client;
    limited.poll = [self = shared_from_this()](const worker_target& target, const poll_request& request,
                       std::function<void(poll_response)> done) {
        if (request.leaseUntilMs)
            self->m_client.poll(target, request, std::move(done));
        else
            self->add({ target, request, std::move(done) });
    };
    return limited;
}

void poll_limit::add(waiting_poll poll)
{
    m_waiting.push_back(std::move(poll));
    sendWaiting();
}

void poll_limit::sendWaiting()
{
    while (!m_waiting.empty() && m_pending < m_maxPending) {
        auto next = std::move(m_waiting.front());
        m_waiting.pop_front();
        send(std::move(next));
    }
}

void poll_limit::send(waiting_poll poll)
{
    ++m_pending;
    m_client.poll(
        poll.target, poll.request, [self = shared_from_this(), done = std::move(poll.done)](poll_response response) {
            --self->m_pending;
            done(std::move(response));
            self->sendWaiting();
        });
}

void poll_limit::discardWaiting()
{
    for (const auto& poll : std::exchange(m_waiting, {}))
        poll.done({ { worker_reply::NotSent, std::nullopt, "the session was closed before the poll was sent" } });
}

} // namespace chervilport
