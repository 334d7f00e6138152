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
    constexpr auto callDeadline = 3'000ms;
    /// Time that a caller waits beyond the deadline that it sent.
    constexpr auto callMargin = 300ms;
    constexpr auto firstPause = 200ms;
    constexpr auto watchInterval = 400ms;
    constexpr auto longestCancelWait = 2'000ms;
    constexpr int mostAttempts = 5;
    constexpr double cancelShare = 0.12;
    constexpr double resendShare = 0.1;
    constexpr double revokedShare = 0.1;
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

    /// Whether the answer says that the submission was not accepted and never will be.
    bool isRefusal(const http_result& result)
    {
        return result.delivery == http_delivery::Complete && !isSuccess(result)
            && (result.response.status < firstServerError || result.response.status == unavailable);
    }

    std::string newId(std::mt19937_64& random)
    {
        constexpr std::size_t digits = 16;
        std::array<char, digits + 1> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
        return { text.data(), digits };
    }

    std::vector<submitted_step> drawSteps(std::mt19937_64& random)
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
            if (step.gang)
                entry["gang"] = true;
            if (step.afterPrevious)
                entry["depends_on"] = { i - 1 };
            body["steps"].push_back(std::move(entry));
        }
        return body;
    }

} // namespace

/// A submission until its end is known or the caller gives up.
struct soak_callers::submission {
    std::string id;
    std::string body;
    int attempts = 0;
    /// Whether an attempt had no clear answer.
    bool unclear = false;
};

soak_callers::soak_callers(asio::io_context& context, soak_site& site, job_ledger& ledger, http_client& client,
    soak_operator& configuration, std::uint64_t seed)
    : m_context(context)
    , m_site(site)
    , m_ledger(ledger)
    , m_client(client)
    , m_operator(configuration)
    , m_random(seed)
    , m_timer(context)
{
}

void soak_callers::start() { scheduleNext(); }

void soak_callers::after(std::chrono::milliseconds pause, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, pause);
    timer->async_wait([timer, action = std::move(action)](const std::error_code& error) {
        if (!error)
            action();
    });
}

void soak_callers::scheduleNext()
{
    std::exponential_distribution<double> gap(
        1.0 / static_cast<double>(std::chrono::milliseconds(meanInterval).count()));
    m_timer.expires_after(std::chrono::milliseconds(static_cast<std::int64_t>(gap(m_random))));
    m_timer.async_wait([this](const std::error_code& error) {
        if (error || !m_submits)
            return;
        submitNew();
        scheduleNext();
    });
}

void soak_callers::call(http_request request, const answer_function& done)
{
    http_client_request sent;
    sent.address = m_site.anyEntryAddress(m_random());
    sent.timeout = callDeadline + callMargin;
    request.headers.push_back({ "Host", soak_operator::host });
    request.headers.push_back({ "X-Chervilport-Deadline-Ms", std::to_string(callDeadline.count()) });
    if (findHeader(request.headers, "Api-Key").empty())
        request.headers.push_back({ "Api-Key", soak_operator::lastingKey });
    sent.request = std::move(request);
    m_client.send(std::move(sent), done);
}

void soak_callers::submitNew()
{
    if (std::bernoulli_distribution(revokedShare)(m_random))
        submitWithRevokedKey();
    auto made = std::make_shared<submission>();
    made->id = newId(m_random);
    const auto steps = drawSteps(m_random);
    const auto spec = "work of " + made->id;
    made->body = describe(spec, steps).dump();
    m_ledger.add(made->id, spec, steps);
    ++m_open;
    send(made);
}

void soak_callers::submitWithRevokedKey()
{
    const auto key = m_operator.revokedKey();
    if (key.empty())
        return;
    const auto id = newId(m_random);
    // The ledger does not know the job, so that a run of it is reported too.
    call({ "POST", soak_operator::prefix + id, { { "Api-Key", key } },
             describe("revoked", { submitted_step {} }).dump() },
        [this, id, key](const http_result& result) {
            if (isSuccess(result))
                m_ledger.report("a key that was taken away is refused", id + " was accepted with " + key);
        });
}

void soak_callers::send(const std::shared_ptr<submission>& made)
{
    ++made->attempts;
    call({ "POST", soak_operator::prefix + made->id, { { "Content-Type", "application/json" } }, made->body },
        [this, made](const http_result& result) { handleAnswer(made, result); });
}

void soak_callers::handleAnswer(const std::shared_ptr<submission>& made, const http_result& result)
{
    if (isSuccess(result)) {
        finish(made, true);
        return;
    }
    const bool sentNothing = result.delivery == http_delivery::NotSent;
    made->unclear = made->unclear || (!isRefusal(result) && !sentNothing);
    if (made->attempts >= mostAttempts) {
        finish(made, false);
        return;
    }
    after(firstPause * (1 << made->attempts), [this, made] { send(made); });
}

void soak_callers::finish(const std::shared_ptr<submission>& made, bool accepted)
{
    --m_open;
    if (!accepted) {
        ++(made->unclear ? m_unclear : m_refused);
        if (!made->unclear)
            m_ledger.noteRefused(made->id);
        return;
    }
    ++m_accepted;
    m_ledger.find(made->id)->accepted = true;
    if (std::bernoulli_distribution(cancelShare)(m_random))
        cancelLater(made->id);
    // A copy of the call that was on its way all the time.
    if (std::bernoulli_distribution(resendShare)(m_random))
        call({ "POST", soak_operator::prefix + made->id, { { "Content-Type", "application/json" } }, made->body },
            [](const http_result&) {});
    watch(made->id);
}

void soak_callers::watch(const std::string& id)
{
    const bool cancelled = m_ledger.find(id)->cancelAcknowledged;
    call({ "GET", soak_operator::prefix + id, {}, {} }, [this, id, cancelled](const http_result& result) {
        if (result.delivery == http_delivery::Complete) {
            const auto body = nlohmann::json::parse(result.response.body, nullptr, false);
            m_ledger.noteShown(id, result.response.status, body.is_object() ? body.value("state", "") : "", cancelled);
        }
        const auto& state = m_ledger.find(id)->shownState;
        const bool ended = state == "completed" || state == "failed" || state == "canceled";
        // A job that has ended is asked for now and then: its state must stay.
        after(ended ? watchInterval * 8 : watchInterval, [this, id] { watch(id); });
    });
}

void soak_callers::cancelLater(const std::string& id)
{
    std::uniform_int_distribution<std::int64_t> wait(0, std::chrono::milliseconds(longestCancelWait).count());
    after(std::chrono::milliseconds(wait(m_random)), [this, id] { cancel(id); });
}

void soak_callers::cancel(const std::string& id)
{
    m_ledger.find(id)->cancelSent = true;
    call({ "DELETE", soak_operator::prefix + id, {}, {} }, [this, id](const http_result& result) {
        if (isSuccess(result))
            m_ledger.find(id)->cancelAcknowledged = true;
        else if (result.delivery == http_delivery::Complete && result.response.status == gone)
            m_ledger.report("an accepted job is known", id + " could not be cancelled: 410");
        else
            after(watchInterval, [this, id] { cancel(id); });
    });
}

} // namespace chervilport::soak
