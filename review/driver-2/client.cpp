#include "client.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

    constexpr int ok = 200;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    constexpr int gone = 410;
    constexpr int attempts = 5;
    constexpr std::chrono::milliseconds clientDeadline { 3'000 };
    constexpr std::chrono::milliseconds operatorTimeout { 1'000 };
    constexpr std::chrono::milliseconds pause { 200 };

    bool isClear(int status) { return status != 0 && status != 502 && status != 504; }

} // namespace

response callEntry(record& written, const endpoint& front, const queue_address& queue, const std::string& method,
    const std::string& job, const std::string& body)
{
    const request sent { method, queue.prefix + job,
        { { "host", queue.host }, { "api-key", queue.key },
            { "x-chervilport-deadline-ms", std::to_string(clientDeadline.count()) } },
        body };
    written.write("client " + method + ' ' + job + " to " + front.ip);
    auto answer = call(front, sent, clientDeadline);
    written.write("client " + method + ' ' + job + " answered " + std::to_string(answer.status) + ' '
        + answer.body.substr(0, 80));
    return answer;
}

submission submit(record& written, const site& machines, const queue_address& queue, std::size_t firstEntry,
    const std::string& job, const std::string& body)
{
    bool isUnknown = false;
    for (std::size_t i = 0; i < attempts; ++i) {
        const auto front = machines.front((firstEntry + i) % site::entryMachines);
        const auto status = callEntry(written, front, queue, "POST", job, body).status;
        if (status == ok)
            return submission::Accepted;
        isUnknown = isUnknown || !isClear(status);
        if (isClear(status) && status != tooManyRequests && status != unavailable)
            break;
        std::this_thread::sleep_for(pause);
    }
    return isUnknown ? submission::Unknown : submission::Rejected;
}

std::optional<std::string> stateOf(
    record& written, const site& machines, const queue_address& queue, const std::string& job)
{
    for (std::size_t i = 0; i < attempts; ++i) {
        const auto answer = callEntry(written, machines.front(i % site::entryMachines), queue, "GET", job, {});
        if (answer.status == gone)
            return "410";
        if (answer.status == ok)
            return nlohmann::json::parse(answer.body).value("state", std::string());
        std::this_thread::sleep_for(pause);
    }
    return std::nullopt;
}

int putConfig(record& written, const site& machines, std::size_t firstControl, const std::string& config)
{
    const auto version = std::to_string(nlohmann::json::parse(config).value("version", 0));
    for (std::size_t i = 0; true; ++i) {
        const auto target = machines.control((firstControl + i) % site::controlMachines);
        written.write("operator PUT version " + version + " to " + target.ip);
        const auto answer = call(target, { "PUT", "/v1/config", {}, config }, operatorTimeout);
        written.write("operator PUT version " + version + " answered " + std::to_string(answer.status));
        const bool isRefused
            = answer.status >= 400 && answer.status < 500 && answer.status != 408 && answer.status != tooManyRequests;
        if (answer.status == ok || isRefused)
            return answer.status;
        if (i == attempts)
            return 0;
        // The backoff of the operator grows.
        std::this_thread::sleep_for(pause * (i + 1));
    }
}

} // namespace review
