#include "benchmarks/requests/consistency_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace chervilport {

namespace {

    constexpr std::size_t maxRecordBytes = 256U << 20U;
    constexpr double microsecondsPerSecond = 1e6;

    void addRecord(executor_records& records, const std::string& body)
    {
        const auto document = nlohmann::json::parse(body);
        for (const auto& [name, count] : document.at("runs").items())
            records.runs[name] += count.get<int>();
        records.busySeconds += document.at("busy_us").get<double>() / microsecondsPerSecond;
        records.slots += document.at("slots").get<int>();
        records.mostRunning = std::max(records.mostRunning, document.at("most_running").get<int>());
        records.refused += document.at("refused").get<std::int64_t>();
    }

} // namespace

executor_records readRecords(asio::io_context& context, http_client& client, const std::vector<std::string>& executors)
{
    executor_records records;
    for (const auto& executor : executors) {
        http_client_request request;
        request.address = executor;
        request.request.target = "/record";
        request.maxResponseBytes = maxRecordBytes;
        bool hasEnded = false;
        client.send(std::move(request), [&](const http_result& result) {
            hasEnded = true;
            if (result.delivery != http_delivery::Complete)
                throw std::runtime_error("executor " + executor + " returned no record: " + result.detail);
            addRecord(records, result.response.body);
        });
        while (!hasEnded)
            context.run_one();
    }
    return records;
}

consistency_report checkConsistency(const load_result& result, const executor_records& records)
{
    consistency_report report;
    for (const auto& [name, record] : result.records) {
        const auto found = records.runs.find(name);
        const auto runs = found == records.runs.end() ? 0 : found->second;
        if (record.outcome == load_outcome::Lost || (record.outcome == load_outcome::Result && runs == 0))
            ++report.lost;
        if (record.outcome == load_outcome::WrongResult)
            ++report.wrongResults;
        if (record.isNonIdempotent && runs > 1)
            ++report.doubleRuns;
        if ((record.outcome == load_outcome::NotRun || record.outcome == load_outcome::Refused) && runs > 0)
            ++report.falseNotRun;
    }
    return report;
}

} // namespace chervilport
