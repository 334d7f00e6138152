#include "standins/executor/executor_announcer.h"

#include "chervilport/http/http_client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

executor_announcer::executor_announcer(
    asio::io_context& context, http_client& client, standin_executor_options options, std::string address)
    : m_client(client)
    , m_options(std::move(options))
    , m_address(std::move(address))
    , m_timer(context)
    , m_period(m_options.announcePeriod)
    , m_incarnation(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
{
}

void executor_announcer::announce(const std::string& state)
{
    m_state = state;
    send();
    sendLater();
}

void executor_announcer::sendLater()
{
    m_timer.expires_after(m_period);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->send();
        self->sendLater();
    });
}

void executor_announcer::send()
{
    if (m_options.instances.empty())
        return;
    const nlohmann::json document { { "address", m_address }, { "kind", "executor" },
        { "failure_domain", m_options.failureDomain }, { "incarnation", m_incarnation }, { "sequence", ++m_sequence },
        { "state", m_state }, { "service", m_options.service }, { "slots", m_options.slots },
        { "connections", m_options.connections } };
    http_client_request request;
    request.address = m_options.instances[m_instance % m_options.instances.size()];
    request.request = { "POST", "/v1/announce", { { "Content-Type", "application/json" } }, document.dump() };
    request.timeout = m_options.announcePeriod;
    m_client.send(std::move(request), [weak = weak_from_this()](const http_result& result) {
        constexpr int firstErrorStatus = 300;
        const auto self = weak.lock();
        if (!self)
            return;
        if (result.delivery != http_delivery::Complete || result.response.status >= firstErrorStatus) {
            ++self->m_instance;
            return;
        }
        const auto reply = nlohmann::json::parse(result.response.body, nullptr, false);
        if (reply.is_object() && reply.contains("renew_ms"))
            self->m_period = std::chrono::milliseconds(reply["renew_ms"].get<std::int64_t>());
    });
}

} // namespace chervilport
