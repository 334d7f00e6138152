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
    constexpr auto retryDelay = 250ms;
    /// Time after which all instances refuse a revoked key.
    constexpr auto revocationDelay = 5'000ms;
    constexpr double raceProbability = 0.3;
    /// Number of names that the queue of the patient jobs has in turn.
    constexpr std::uint64_t queueNames = 3;
    constexpr const char* path = "/v1/config";
    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int firstServerError = 500;

    nlohmann::json describeRoute(const std::string& name, const char* pathPrefix, int priority)
    {
        return { { "name", name }, { "host", soak_operator::host }, { "path_prefix", pathPrefix },
            { "type", "non_idempotent" }, { "timeout_ms", 3'000 }, { "target_duration_ms", 1'000 },
            { "priority", priority }, { "service", "planner" }, { "max_attempts", soak_operator::maxAttempts },
            { "stretch", 3.0 }, { "public", false } };
    }

    nlohmann::json describeWorkspace(const char* name, const std::vector<std::string>& keys, int guarantee)
    {
        return { { "name", name }, { "api_keys", keys }, { "priority", 1 },
            { "guaranteed_gpus", { { "gpu", guarantee } } } };
    }

} // namespace

soak_operator::soak_operator(asio::io_context& context, soak_cluster& cluster, invariant_checker& checker,
    http_client& client, std::uint64_t seed)
    : m_context(context)
    , m_cluster(cluster)
    , m_checker(checker)
    , m_client(client)
    , m_random(seed)
    , m_changeTimer(context, changeInterval)
    , m_readTimer(context, readInterval)
{
}

void soak_operator::start()
{
    changeConfiguration();
    m_changeTimer.start([this] { changeConfiguration(); });
    m_readTimer.start([this] { read(); });
}

std::string soak_operator::makeDocument(std::uint64_t version)
{
    const auto key = "temporary-" + std::to_string(version) + '-' + std::to_string(m_random());
    m_temporaryKeys[version].push_back(key);
    nlohmann::json body { { "version", version } };
    // Versions rename the queue while jobs are submitted to it.
    const auto queueName = "r-soak-" + std::to_string(version % queueNames);
    body["routes"] = { describeRoute(queueName, prefix, 1), describeRoute("r-urgent", urgentPrefix, 0) };
    body["services"] = nlohmann::json::array({ { { "name", "planner" }, { "health_path", "/health" },
        { "max_conns", 64 }, { "protocol", "h1" }, { "tls", false }, { "admission_control", false } } });
    body["limits"] = { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3'000 },
        { "idle_timeout_ms", 15'000 } };
    body["tenants"]
        = { describeWorkspace("soak", { permanentKey, key }, 8), describeWorkspace("second", { secondKey }, 4) };
    auto document = body.dump();
    m_sentDocuments[version].insert(document);
    return document;
}

void soak_operator::changeConfiguration()
{
    m_nextVersion += 1 + m_random() % 3;
    put(m_nextVersion, makeDocument(m_nextVersion));
    if (isConfigured() && std::bernoulli_distribution(raceProbability)(m_random))
        put(m_nextVersion, makeDocument(m_nextVersion));
}

void soak_operator::put(std::uint64_t version, const std::string& document)
{
    http_client_request call;
    call.address = m_cluster.anyControlAddress(m_random());
    call.timeout = callTimeout;
    call.request = { "PUT", path, { { "Content-Type", "application/json" } }, document };
    m_client.send(std::move(call),
        [this, version, document](const http_result& result) { handlePutResponse(version, document, result); });
}

void soak_operator::handlePutResponse(std::uint64_t version, const std::string& document, const http_result& result)
{
    const bool isComplete = result.delivery == http_delivery::Complete;
    if (isComplete && result.response.status == ok) {
        recordAcknowledged(version);
        return;
    }
    if (isComplete && result.response.status >= badRequest && result.response.status < firstServerError)
        m_checker.reportViolation("a valid configuration is not refused",
            std::to_string(version) + " got status " + std::to_string(result.response.status));
    auto timer = std::make_shared<asio::steady_timer>(m_context, retryDelay);
    timer->async_wait([this, timer, version, document](const std::error_code& error) {
        if (!error)
            put(version, document);
    });
}

void soak_operator::recordAcknowledged(std::uint64_t version)
{
    if (version <= m_acknowledgedVersion)
        return;
    m_acknowledgedVersion = version;
    const auto now = std::chrono::steady_clock::now();
    while (!m_temporaryKeys.empty() && m_temporaryKeys.begin()->first < version) {
        for (auto& key : m_temporaryKeys.begin()->second)
            m_revokedKeys.emplace_back(std::move(key), now);
        m_temporaryKeys.erase(m_temporaryKeys.begin());
    }
}

std::string soak_operator::revokedKey()
{
    const auto now = std::chrono::steady_clock::now();
    std::size_t old = 0;
    while (old < m_revokedKeys.size() && now - m_revokedKeys[old].second > revocationDelay)
        ++old;
    return old == 0 ? std::string() : m_revokedKeys[m_random() % old].first;
}

void soak_operator::read()
{
    http_client_request call;
    call.address = m_cluster.anyControlAddress(m_random());
    call.timeout = callTimeout;
    call.request = { "GET", path, {}, {} };
    m_client.send(std::move(call),
        [this, before = m_acknowledgedVersion](const http_result& result) { checkRead(before, result); });
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
        m_checker.reportViolation("a read returns no configuration older than the acknowledged one",
            text + " after " + std::to_string(acknowledgedBefore));
    if (!m_sentDocuments[version].contains(body.dump()))
        m_checker.reportViolation("a configuration is read back as it was sent", text);
    const auto [seen, isNew] = m_receivedDocuments.emplace(version, result.response.body);
    if (!isNew && seen->second != result.response.body)
        m_checker.reportViolation("a version has one content", text);
}

} // namespace chervilport::soak
