#include "tests/soak/soak_clients.h"

#include "chervilport/http/http_client.h"
#include "tests/soak/invariant_checker.h"
#include "tests/soak/soak_cluster.h"
#include "tests/soak/soak_operator.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace chervilport::soak {

namespace {

    using namespace std::chrono_literals;

    constexpr auto meanInterval = 300ms;
    /// Mean interval under overload: the jobs need about three times the accelerators of the default fleet.
    constexpr auto overloadInterval = 55ms;
    constexpr auto callDeadline = 3'000ms;
    /// Time for which a client waits beyond the deadline that it sent.
    constexpr auto callMargin = 300ms;
    constexpr auto initialBackoff = 200ms;
    constexpr auto statePollInterval = 400ms;
    constexpr auto maxCancelDelay = 2'000ms;
    constexpr int maxAttempts = 5;
    constexpr double cancelProbability = 0.12;
    constexpr double resendProbability = 0.1;
    constexpr double revokedKeyProbability = 0.1;
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    constexpr int firstServerError = 500;
    constexpr int unavailable = 503;
    constexpr int gone = 410;

    bool isSuccess(const http_result& result)
    {
        return result.delivery == http_delivery::Complete && result.response.status >= firstSuccess
            && result.response.status < firstRedirect;
    }

    /// Returns whether the response says that the submission was not accepted and will not be.
    bool isRefusal(const http_result& result)
    {
        return result.delivery == http_delivery::Complete && !isSuccess(result)
            && (result.response.status < firstServerError || result.response.status == unavailable);
    }

    /// Returns the key of the workspace of a job; the first digit of the id selects it.
    const char* keyOf(const std::string& id)
    {
        return id.front() % 2 == 0 ? soak_operator::permanentKey : soak_operator::secondKey;
    }

    http_request jobRequest(const char* method, const std::string& id, std::string body = {})
    {
        http_request request { method, soak_operator::prefix + id, { { "Api-Key", keyOf(id) } }, std::move(body) };
        if (!request.body.empty())
            request.headers.push_back({ "Content-Type", "application/json" });
        return request;
    }

    std::string newId(std::mt19937_64& random)
    {
        constexpr std::size_t digits = 16;
        std::array<char, digits + 1> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
        return { text.data(), digits };
    }

    std::vector<submitted_step> randomSteps(std::mt19937_64& random)
    {
        std::uniform_int_distribution<std::uint32_t> count(1, 4);
        std::uniform_int_distribution<std::int64_t> accelerators(1, 4);
        std::uniform_int_distribution<std::int64_t> cores(500, 4'000);
        std::uniform_int_distribution<std::int64_t> work(200, 1'500);
        std::bernoulli_distribution coin(0.5);
        std::vector<submitted_step> steps(coin(random) ? 1 : 2);
        for (std::size_t i = 0; i < steps.size(); ++i)
            steps[i] = { count(random), cores(random), 512, accelerators(random), coin(random), i > 0,
                std::chrono::milliseconds(work(random)) };
        return steps;
    }

    nlohmann::json describe(const std::string& spec, const std::vector<submitted_step>& steps)
    {
        nlohmann::json body { { "spec", spec }, { "steps", nlohmann::json::array() } };
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto& step = steps[i];
            nlohmann::json entry { { "count", step.count }, { "cpu", step.milliCores }, { "mem_mb", step.memoryMb },
                { "gpu", step.accelerators }, { "est_duration_ms", step.work.count() } };
            if (step.isGang)
                entry["gang"] = true;
            if (step.dependsOnPrevious)
                entry["depends_on"] = { i - 1 };
            body["steps"].push_back(std::move(entry));
        }
        return body;
    }

} // namespace

/// A submission until it is accepted or the client gives up.
struct soak_clients::submission {
    std::string id;
    std::string body;
    /// Attempts sent so far.
    int attempts = 0;
    /// Whether the outcome of an attempt is unknown.
    bool hasUnknownOutcome = false;
};

soak_clients::soak_clients(asio::io_context& context, soak_cluster& cluster, invariant_checker& checker,
    http_client& client, soak_operator& operators, std::uint64_t seed)
    : m_context(context)
    , m_cluster(cluster)
    , m_checker(checker)
    , m_httpClient(client)
    , m_operators(operators)
    , m_random(seed)
    , m_timer(context)
{
}

void soak_clients::start(std::chrono::milliseconds length)
{
    m_overloadBegin = std::chrono::steady_clock::now() + length / 3;
    m_overloadEnd = m_overloadBegin + length / 3;
    scheduleNext();
}

void soak_clients::runAfter(std::chrono::milliseconds pause, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, pause);
    timer->async_wait([timer, action = std::move(action)](const std::error_code& error) {
        if (!error)
            action();
    });
}

void soak_clients::scheduleNext()
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::milliseconds mean
        = now >= m_overloadBegin && now < m_overloadEnd ? overloadInterval : meanInterval;
    std::exponential_distribution<double> gap(1.0 / static_cast<double>(mean.count()));
    m_timer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(gap(m_random))));
    m_timer.async_wait([this](const std::error_code& error) {
        if (error || !m_isSubmitting)
            return;
        submitJob();
        scheduleNext();
    });
}

void soak_clients::call(http_request request, const response_callback& done)
{
    http_client_request sent;
    sent.address = m_cluster.anyEntryAddress(m_random());
    sent.timeout = callDeadline + callMargin;
    request.headers.push_back({ "Host", soak_operator::host });
    request.headers.push_back({ "X-Chervilport-Deadline-Ms", std::to_string(callDeadline.count()) });
    sent.request = std::move(request);
    m_httpClient.send(std::move(sent), done);
}

void soak_clients::submitJob()
{
    if (std::bernoulli_distribution(revokedKeyProbability)(m_random))
        submitWithRevokedKey();
    auto pending = std::make_shared<submission>();
    pending->id = newId(m_random);
    const auto steps = randomSteps(m_random);
    const auto spec = "work of " + pending->id;
    pending->body = describe(spec, steps).dump();
    m_checker.add(pending->id, spec, steps);
    ++m_pending;
    send(pending);
}

void soak_clients::submitWithRevokedKey()
{
    const auto key = m_operators.revokedKey();
    if (key.empty())
        return;
    const auto id = newId(m_random);
    // The job is not added to the checker, so that a run of it is reported as well.
    call({ "POST", soak_operator::prefix + id, { { "Api-Key", key } },
             describe("revoked", { submitted_step {} }).dump() },
        [this, id, key](const http_result& result) {
            if (isSuccess(result))
                m_checker.reportViolation("a revoked key is refused", id + " was accepted with " + key);
        });
}

void soak_clients::send(const std::shared_ptr<submission>& pending)
{
    ++pending->attempts;
    call(jobRequest("POST", pending->id, pending->body),
        [this, pending](const http_result& result) { handleResponse(pending, result); });
}

void soak_clients::handleResponse(const std::shared_ptr<submission>& pending, const http_result& result)
{
    if (isSuccess(result)) {
        finish(pending, true);
        return;
    }
    const bool isNotSent = result.delivery == http_delivery::NotSent;
    pending->hasUnknownOutcome = pending->hasUnknownOutcome || (!isRefusal(result) && !isNotSent);
    if (pending->attempts >= maxAttempts) {
        finish(pending, false);
        return;
    }
    runAfter(initialBackoff * (1 << pending->attempts), [this, pending] { send(pending); });
}

void soak_clients::finish(const std::shared_ptr<submission>& pending, bool isAccepted)
{
    --m_pending;
    if (!isAccepted) {
        ++(pending->hasUnknownOutcome ? m_unknownOutcomes : m_refused);
        if (!pending->hasUnknownOutcome)
            m_checker.recordRefusal(pending->id);
        return;
    }
    ++m_accepted;
    m_checker.find(pending->id)->isAccepted = true;
    if (std::bernoulli_distribution(cancelProbability)(m_random))
        cancelLater(pending->id);
    // Send the request again, as a delayed duplicate in the network would arrive.
    if (std::bernoulli_distribution(resendProbability)(m_random))
        call(jobRequest("POST", pending->id, pending->body), [](const http_result&) {});
    pollState(pending->id);
}

void soak_clients::pollState(const std::string& id)
{
    const bool wasCancelAcknowledged = m_checker.find(id)->isCancelAcknowledged;
    call(jobRequest("GET", id), [this, id, wasCancelAcknowledged](const http_result& result) {
        if (result.delivery == http_delivery::Complete) {
            const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
            m_checker.recordState(
                id, result.response.status, body.is_object() ? body.value("state", "") : "", wasCancelAcknowledged);
        }
        const auto& state = m_checker.find(id)->reportedState;
        const bool hasEnded = state == "completed" || state == "failed" || state == "canceled";
        // Ended jobs are polled at a lower rate: their state must not change.
        runAfter(hasEnded ? statePollInterval * 8 : statePollInterval, [this, id] { pollState(id); });
    });
}

void soak_clients::cancelLater(const std::string& id)
{
    std::uniform_int_distribution<std::int64_t> wait(0, std::chrono::milliseconds(maxCancelDelay).count());
    runAfter(std::chrono::milliseconds(wait(m_random)), [this, id] { cancel(id); });
}

void soak_clients::cancel(const std::string& id)
{
    m_checker.find(id)->isCancelSent = true;
    call(jobRequest("DELETE", id), [this, id](const http_result& result) {
        if (isSuccess(result))
            m_checker.find(id)->isCancelAcknowledged = true;
        else if (result.delivery == http_delivery::Complete && result.response.status == gone)
            m_checker.reportViolation("an accepted job is found", id + " could not be cancelled: status 410");
        else
            runAfter(statePollInterval, [this, id] { cancel(id); });
    });
}

} // namespace chervilport::soak
