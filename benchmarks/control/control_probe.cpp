#include "benchmarks/control/control_probe.h"

#include "benchmarks/control/process_usage.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>
#include <thread>

namespace chervilport {

namespace {

    // Returns the sum of all series of a metric.
    double sumOf(const std::string& text, const std::string& metric)
    {
        std::istringstream lines(text);
        std::string line;
        double sum = 0;
        while (std::getline(lines, line)) {
            if (line.starts_with(metric + "{") || line.starts_with(metric + " "))
                sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
        return sum;
    }

} // namespace

control_sample sampleInstance(const session_cluster& cluster, std::uint64_t id)
{
    const auto metrics = sendSessionCall({ "GET", cluster.address(id), "/metrics", {}, {} }).body;
    const auto usage = readProcessUsage(cluster.pid(id));
    control_sample sample;
    sample.time = nowSeconds();
    sample.cpuSeconds = usage.cpuSeconds;
    sample.residentBytes = usage.residentBytes;
    sample.peerBytes = sumOf(metrics, "chervilport_peer_bytes_total");
    sample.peerMessages = sumOf(metrics, "chervilport_peer_messages_total");
    sample.httpBytes = sumOf(metrics, "chervilport_control_http_bytes_total");
    sample.httpMessages = sumOf(metrics, "chervilport_control_http_messages_total");
    return sample;
}

control_rates ratesBetween(const control_sample& from, const control_sample& to)
{
    const double seconds = to.time - from.time;
    return { (to.cpuSeconds - from.cpuSeconds) / seconds, to.residentBytes, (to.peerBytes - from.peerBytes) / seconds,
        (to.peerMessages - from.peerMessages) / seconds, (to.httpBytes - from.httpBytes) / seconds,
        (to.httpMessages - from.httpMessages) / seconds };
}

control_rates observeInstance(const session_cluster& cluster, std::uint64_t id, double seconds)
{
    const auto from = sampleInstance(cluster, id);
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    return ratesBetween(from, sampleInstance(cluster, id));
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::min(values.size() - 1, rank > 0 ? rank - 1 : 0)];
}

double nowSeconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

bool commitOnce(const session_cluster& cluster, std::uint64_t id)
{
    constexpr long notFound = 404;
    constexpr long unprocessable = 422;
    const auto response = sendSessionCall(
        { "POST", cluster.address(id), "/v1/jobs", {}, R"({"workspace":"no-such-workspace","tasks":1})" });
    return response.status == notFound || response.status == unprocessable;
}

} // namespace chervilport
