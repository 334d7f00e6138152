#include "chervilport/transport/detail/reply_registry.h"

#include <kj/debug.h>

#include <atomic>
#include <utility>

namespace chervilport {

/// Shared by the copies of one responder. Rejects the call if it is destroyed without a reply.
class reply_registry::responder_state {
public:
    responder_state(reply_registry& registry, std::shared_ptr<transport_context> context, std::uint64_t id)
        : m_registry(registry)
        , m_context(std::move(context))
        , m_id(id)
    {
    }

    responder_state(const responder_state&) = delete;
    responder_state& operator=(const responder_state&) = delete;

    ~responder_state()
    {
        // A closed queue drops the task, so the task cannot access a destroyed registry.
        if (!m_hasResponded)
            m_context->tasks.post([&registry = m_registry, id = m_id] { registry.abandon(id); });
    }

    void respond(forward_reply reply)
    {
        if (m_hasResponded.exchange(true))
            return;
        m_context->tasks.post([&registry = m_registry, id = m_id, reply = std::move(reply)]() mutable {
            registry.resolve(id, std::move(reply));
        });
    }

private:
    reply_registry& m_registry;
    std::shared_ptr<transport_context> m_context;
    std::uint64_t m_id;
    std::atomic<bool> m_hasResponded = false;
};

reply_registry::reply_registry(std::shared_ptr<transport_context> context)
    : m_context(std::move(context))
    , m_waiting(std::make_shared<waiting_map>())
{
}

reply_registry::pending reply_registry::add()
{
    const auto id = m_nextId++;
    auto pair = kj::newPromiseAndFulfiller<std::unique_ptr<forward_reply>>();
    m_waiting->emplace(id, kj::mv(pair.fulfiller));
    auto shared = std::make_shared<responder_state>(*this, m_context, id);
    // When the sender cancels the call, the promise is destroyed and removes the entry.
    auto cleanup = kj::defer([waiting = m_waiting, id] { waiting->erase(id); });
    return { [shared](forward_reply reply) { shared->respond(std::move(reply)); },
        pair.promise.attach(kj::mv(cleanup)) };
}

void reply_registry::resolve(std::uint64_t id, forward_reply reply)
{
    const auto found = m_waiting->find(id);
    if (found != m_waiting->end())
        found->second->fulfill(std::make_unique<forward_reply>(std::move(reply)));
}

void reply_registry::abandon(std::uint64_t id)
{
    const auto found = m_waiting->find(id);
    if (found != m_waiting->end())
        found->second->reject(KJ_EXCEPTION(FAILED, "the call was dropped without a reply"));
}

} // namespace chervilport
