#include "tests/soak/soak_operator.h"

#include "chervilport/http/http_client.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_cluster.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr auto changeInterval = 1'500ms;
    constexpr auto readInterval = 300ms;
    constexpr auto callTimeout = 1'000ms;
    constexpr auto retryPause = 250ms;
    /// Time after which a key that was taken away is refused everywhere.
    constexpr auto revokeTime = 5'000ms;
    constexpr double raceShare = 0.3;
    constexpr const char* path = "/v1/config";
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int firstServerError = 500;

} // namespace

soak_operator::soak_operator(
    asio::io_context& context, soak_site& site, job_ledger& ledger, http_client& client, std::uint64_t seed)
    : m_context(context)
    , m_site(site)
    , m_ledger(ledger)
    , m_client(client)
    , m_random(seed)
    , m_changeTimer(context, changeInterval)
    , m_readTimer(context, readInterval)
{
}

void soak_operator::start()
{
    change();
    m_changeTimer.start([this] { change(); });
    m_readTimer.start([this] { read(); });
}

std::string soak_operator::makeDocument(std::uint64_t version)
{
    const auto key = "temporary-" + std::to_string(version) + '-' + std::to_string(m_random());
    m_keys[version].push_back(key);
    nlohmann::json body { { "version", version } };
    body["routes"] = nlohmann::json::array({ { { "name", "r-soak" }, { "host", host }, { "path_prefix", prefix },
        { "type", "non_idempotent" }, { "timeout_ms", 3'000 }, { "target_duration_ms", 1'000 }, { "priority", 1 },
        { "service", "planner" }, { "max_attempts", maxAttempts }, { "stretch", 3.0 }, { "public", false } } });
    body["services"] = nlohmann::json::array({ { { "name", "planner" }, { "health_path", "/health" },
        { "max_conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "admission_control", false } } });
    body["limits"] = { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3'000 },
        { "idle_timeout_ms", 15'000 } };
    body["tenants"] = nlohmann::json::array({ { { "name", "soak" }, { "api_keys", { lastingKey, key } },
        { "priority", 1 }, { "guaranteed_gpus", { { "gpu", 8 } } } } });
    auto document = body.dump();
    m_sent[version].insert(document);
    return document;
}

void soak_operator::change()
{
    m_next += 1 + m_random() % 3;
    put(m_next, makeDocument(m_next));
    if (isConfigured() && std::bernoulli_distribution(raceShare)(m_random))
        put(m_next, makeDocument(m_next));
}

void soak_operator::put(std::uint64_t version, const std::string& document)
{
    http_client_request call;
    call.address = m_site.anyControlAddress(m_random());
    call.timeout = callTimeout;
    call.request = { "PUT", path, { { "Content-Type", "application/json" } }, document };
    m_client.send(std::move(call),
        [this, version, document](const http_result& result) { handlePut(version, document, result); });
}

void soak_operator::handlePut(std::uint64_t version, const std::string& document, const http_result& result)
{
    const bool answered = result.delivery == http_delivery::Complete;
    if (answered && result.response.status == ok) {
        noteAcknowledged(version);
        return;
    }
    if (answered && result.response.status >= badRequest && result.response.status < firstServerError)
        m_ledger.report("a valid configuration is not refused",
            std::to_string(version) + " was answered with " + std::to_string(result.response.status));
    auto timer = std::make_shared<asio::steady_timer>(m_context, retryPause);
    timer->async_wait([this, timer, version, document](const std::error_code& error) {
        if (!error)
            put(version, document);
    });
}

void soak_operator::noteAcknowledged(std::uint64_t version)
{
    if (version <= m_acknowledged)
        return;
    m_acknowledged = version;
    const auto now = std::chrono::steady_clock::now();
    while (!m_keys.empty() && m_keys.begin()->first < version) {
        for (auto& key : m_keys.begin()->second)
            m_revoked.emplace_back(std::move(key), now);
        m_keys.erase(m_keys.begin());
    }
}

std::string soak_operator::revokedKey()
{
    const auto now = std::chrono::steady_clock::now();
    std::size_t old = 0;
    while (old < m_revoked.size() && now - m_revoked[old].second > revokeTime)
        ++old;
    return old == 0 ? std::string() : m_revoked[m_random() % old].first;
}

void soak_operator::read()
{
    http_client_request call;
    call.address = m_site.anyControlAddress(m_random());
    call.timeout = callTimeout;
    call.request = { "GET", path, {}, {} };
    m_client.send(
        std::move(call), [this, before = m_acknowledged](const http_result& result) { checkRead(before, result); });
}

void soak_operator::checkRead(std::uint64_t acknowledgedBefore, const http_result& result)
{
    if (result.delivery != http_delivery::Complete || result.response.status != ok)
        return;
    ++m_reads;
    const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
    const auto version = body.is_object() ? body.value("version", std::uint64_t { 0 }) : 0;
    const auto text = std::to_string(version);
    if (version < acknowledgedBefore)
        m_ledger.report("a read shows no older configuration than was acknowledged",
            text + " after " + std::to_string(acknowledgedBefore));
    if (!m_sent[version].contains(body.dump()))
        m_ledger.report("a configuration is read back as it was sent", text);
    const auto [seen, isNew] = m_seen.emplace(version, result.response.body);
    if (!isNew && seen->second != result.response.body)
        m_ledger.report("a version has one content", text);
}

} // namespace chervilport::soak
