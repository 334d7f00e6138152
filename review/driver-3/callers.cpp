#include "review/driver-3/callers.h"

#include "review/driver-3/cluster.h"
#include "review/driver-3/record.h"

#include <algorithm>
#include <thread>

namespace chervilport::review {

namespace {

    using namespace std::chrono_literals;

    constexpr auto operatorTimeout = 1s;
    /// Pause before the next attempt; it doubles each time.
    constexpr auto firstOperatorPause = 100ms;
    constexpr auto maxOperatorPause = 1'600ms;
    constexpr auto clientDeadline = 3'000ms;
    constexpr auto clientPause = 300ms;
    constexpr int clientAttempts = 5;
    constexpr int ok = 200;

    std::string describe(const std::optional<http_response>& response)
    {
        return response ? std::to_string(response->status) : "no response";
    }

} // namespace

nlohmann::json makeConfig(
    std::int64_t version, const std::vector<queue_options>& queues, const std::vector<tenant_options>& tenants)
{
    auto routes = nlohmann::json::array();
    for (const auto& queue : queues)
        routes.push_back({ { "name", queue.name }, { "host", hostName }, { "path_prefix", queue.prefix },
            { "type", "non_idempotent" }, { "timeout_ms", 3'000 }, { "target_duration_ms", 1'000 },
            { "priority", queue.priority }, { "service", serviceName }, { "max_attempts", queue.maxAttempts },
            { "stretch", 3.0 }, { "public", false } });
    auto owners = nlohmann::json::array();
    for (const auto& tenant : tenants)
        owners.push_back({ { "name", tenant.name }, { "api_keys", { tenant.key } }, { "priority", 1 },
            { "guaranteed_gpus", { { "gpu", tenant.guaranteedAccelerators } } } });
    const nlohmann::json service { { "name", serviceName }, { "health_path", "/health" }, { "max_conns", 64 },
        { "protocol", "h1" }, { "tls", false }, { "admission_control", false }, { "standby", false } };
    return { { "version", version }, { "routes", routes }, { "services", { service } },
        { "limits",
            { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3'000 },
                { "idle_timeout_ms", 15'000 } } },
        { "tenants", owners } };
}

site_operator::site_operator(const cluster& site, record& log)
    : m_cluster(site)
    , m_log(log)
{
}

std::optional<std::size_t> site_operator::putConfig(const nlohmann::json& config, std::chrono::seconds patience)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    const auto addresses = m_cluster.controlAddresses();
    const auto version = std::to_string(config["version"].get<std::int64_t>());
    std::chrono::milliseconds pause = firstOperatorPause;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
        const auto node = i % addresses.size();
        const auto response = exchange(addresses[node], { "PUT", "/v1/config", {}, config.dump() }, operatorTimeout);
        m_log.add("PUT configuration " + version + " at core-" + std::to_string(node + 1) + ": " + describe(response));
        if (response && response->status == ok)
            return node;
        std::this_thread::sleep_for(pause);
        pause = std::min<std::chrono::milliseconds>(2 * pause, maxOperatorPause);
    }
    return std::nullopt;
}

std::optional<std::int64_t> site_operator::readVersion(std::size_t core)
{
    const auto response = exchange(m_cluster.controlAddress(core), { "GET", "/v1/config", {}, {} }, operatorTimeout);
    m_log.add("GET configuration at core-" + std::to_string(core + 1) + ": " + describe(response));
    if (!response || response->status != ok)
        return std::nullopt;
    const auto body = nlohmann::json::parse(response->body, nullptr, false);
    return body.is_object() ? body.value("version", std::int64_t { 0 }) : 0;
}

site_client::site_client(const cluster& site, record& log, std::string key)
    : m_cluster(site)
    , m_log(log)
    , m_key(std::move(key))
{
}

bool site_client::submit(const std::string& prefix, const std::string& job, const nlohmann::json& body)
{
    const auto path = prefix + job;
    for (int attempt = 0; attempt < clientAttempts; ++attempt) {
        const auto response = call("POST", path, body.dump());
        m_log.add(std::string("POST ").append(path).append(": ").append(describe(response)));
        if (response && response->status == ok)
            return true;
        std::this_thread::sleep_for(clientPause);
    }
    return false;
}

std::string site_client::stateOf(const std::string& prefix, const std::string& job)
{
    const auto response = call("GET", prefix + job, {});
    std::string state = response ? std::to_string(response->status) : "none";
    if (response && response->status == ok)
        state = nlohmann::json::parse(response->body, nullptr, false).value("state", std::string());
    m_log.add("GET " + prefix + job + ": " + state);
    return state;
}

std::optional<http_response> site_client::call(
    const std::string& method, const std::string& path, const std::string& body)
{
    // Retries reach other nodes.
    const auto address = m_cluster.frontAddress(m_calls++ % 2);
    return exchange(address,
        { method, path,
            { { "Host", hostName }, { "Api-Key", m_key },
                { "X-Chervilport-Deadline-Ms", std::to_string(clientDeadline.count()) } },
            body },
        clientDeadline);
}

} // namespace chervilport::review
