#include "benchmarks/requests/load_run.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    using steady = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds callerTimeout { 40'000 };
    constexpr std::chrono::milliseconds refusalDelay { 5 };

    load_outcome classify(const http_result& result, const std::string& name)
    {
        constexpr int okStatus = 200;
        if (result.delivery == http_delivery::NotSent)
            return load_outcome::Refused;
        if (result.delivery != http_delivery::Complete)
            return load_outcome::Lost;
        if (result.response.status == okStatus)
            return result.response.body == "ran " + name ? load_outcome::Result : load_outcome::WrongResult;
        return result.response.body.find(R"("outcome":"not_run")") != std::string::npos ? load_outcome::NotRun
                                                                                        : load_outcome::Uncertain;
    }

    class runner {
    public:
        runner(asio::io_context& context, http_client& client, const load_plan& plan)
            : m_context(context)
            , m_client(client)
            , m_plan(plan)
            , m_random(plan.seed)
        {
        }

        load_result run()
        {
            const auto begin = steady::now();
            for (const auto& [workspace, callers] : m_plan.callers) {
                for (int i = 0; i < callers; ++i)
                    sendNext(workspace);
            }
            while (m_completed < m_plan.requests)
                m_context.run_one();
            m_result.duration = steady::now() - begin;
            return std::move(m_result);
        }

    private:
        void sendNext(const std::string& workspace)
        {
            if (m_started == m_plan.requests)
                return;
            const auto name = m_plan.name + "-" + std::to_string(m_plan.seed) + "-" + std::to_string(++m_started);
            auto& record = m_result.records[name];
            record.workspace = workspace;
            record.isNonIdempotent = std::bernoulli_distribution(m_plan.nonIdempotentShare)(m_random);
            send(name, record, m_plan.resends && record.isNonIdempotent);
        }

        void send(const std::string& name, load_record& record, bool mayResend)
        {
            http_client_request request;
            request.address = m_plan.targets[m_random() % m_plan.targets.size()];
            request.request = { "POST", m_plan.path, {}, name };
            request.request.headers = { { "Chervilport-Workspace", record.workspace },
                { "Chervilport-Idempotent", record.isNonIdempotent ? "false" : "true" }, { "Chervilport-Key", name },
                { "Standin-Service-Us", std::to_string(m_plan.serviceTime.count()) } };
            request.timeout = callerTimeout;
            m_client.send(
                std::move(request), [this, name, &record, mayResend, begin = steady::now()](const http_result& result) {
                    record.outcome = classify(result, name);
                    record.latency = std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - begin);
                    if (mayResend && record.outcome != load_outcome::Result) {
                        send(name, record, false);
                        return;
                    }
                    finish(record);
                });
        }

        void finish(const load_record& record)
        {
            ++m_completed;
            if (m_plan.progress)
                m_plan.progress(m_completed);
            if (record.outcome != load_outcome::NotRun && record.outcome != load_outcome::Refused) {
                sendNext(record.workspace);
                return;
            }
            // A refused caller waits before its next request, so that refusals do not dominate the load.
            const auto timer = std::make_shared<asio::steady_timer>(m_context, refusalDelay);
            timer->async_wait(
                [this, timer, workspace = record.workspace](const asio::error_code&) { sendNext(workspace); });
        }

        asio::io_context& m_context;
        http_client& m_client;
        const load_plan& m_plan;
        std::mt19937_64 m_random;
        load_result m_result;
        int m_started = 0;
        int m_completed = 0;
    };

} // namespace

int load_result::count(load_outcome outcome) const
{
    return static_cast<int>(std::count_if(
        records.begin(), records.end(), [&](const auto& record) { return record.second.outcome == outcome; }));
}

double load_result::latencyMs(double quantile) const
{
    std::vector<std::chrono::microseconds> latencies;
    for (const auto& [name, record] : records) {
        if (record.outcome == load_outcome::Result)
            latencies.push_back(record.latency);
    }
    if (latencies.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1));
    std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank), latencies.end());
    return std::chrono::duration<double, std::milli>(latencies[rank]).count();
}

load_result runLoad(asio::io_context& context, http_client& client, const load_plan& plan)
{
    return runner(context, client, plan).run();
}

} // namespace chervilport
