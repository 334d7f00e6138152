#include "setup.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr int ok = 200;

} // namespace

queue_address testQueue() { return { "queue.example", "/roster/", "key-of-the-tenant" }; }

std::string makeConfig(std::uint64_t version, const std::string& route)
{
    const auto queue = testQueue();
    json config { { "version", version } };
    config["routes"] = { { { "name", route }, { "host", queue.host }, { "path_prefix", queue.prefix },
        { "type", "non_idempotent" }, { "timeout_ms", 3'000 }, { "target_duration_ms", 3'000 }, { "priority", 1 },
        { "service", "dispatch" }, { "max_attempts", 3 }, { "stretch", 3.0 }, { "public", false } } };
    config["services"] = { { { "name", "dispatch" }, { "health_path", "/health" }, { "max_conns", 64 },
        { "protocol", "h1" }, { "tls", false }, { "admission_control", false }, { "standby", false } } };
    config["limits"] = { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 }, { "header_timeout_ms", 3'000 },
        { "idle_timeout_ms", 15'000 } };
    config["tenants"] = { { { "name", "tenant" }, { "api_keys", { queue.key } }, { "priority", 1 },
        { "guaranteed_gpus", { { "gpu", 16 } } } } };
    return config.dump();
}

std::string makeJob(int tasks, int estimateMs)
{
    json step { { "count", tasks }, { "cpu", 1'000 }, { "mem_mb", 1'024 }, { "gpu", 1 },
        { "est_duration_ms", estimateMs } };
    json job { { "spec", "roster" } };
    job["steps"] = json::array({ step });
    return job.dump();
}

std::string jobId(unsigned round, unsigned number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", 0x6a000000U + round, 0x6b000000U + number);
    return text;
}

worker_settings workerSettings(const site& machines, std::size_t number)
{
    constexpr std::size_t perRack = 4;
    worker_settings settings;
    settings.id = "i-" + std::to_string(number);
    settings.ip = machines.executorIp(number);
    settings.zone = "zone-" + std::to_string(number % site::controlMachines);
    settings.rack = "r-" + std::to_string(number / perRack);
    settings.service = "dispatch";
    for (std::size_t core = 0; core < site::controlMachines; ++core)
        settings.control.push_back(machines.control(core));
    return settings;
}

std::vector<std::unique_ptr<worker>> startWorkers(
    const site& machines, std::size_t count, std::chrono::milliseconds work, record& written, run_board& board)
{
    std::vector<std::unique_ptr<worker>> pool;
    for (std::size_t i = 0; i < count; ++i) {
        auto settings = workerSettings(machines, i);
        settings.work = work;
        pool.push_back(std::make_unique<worker>(settings, written, board));
    }
    return pool;
}

bool prepare(record& written, const site& machines)
{
    if (putConfig(written, machines, 0, makeConfig(1, "route-0")) != ok)
        return false;
    // All members have joined and all executors are known.
    std::this_thread::sleep_for(5s);
    const auto id = jobId(0, 0);
    if (submit(written, machines, testQueue(), 0, id, makeJob(1, 300)) != submission::Accepted)
        return false;
    constexpr int polls = 100;
    for (int i = 0; i < polls; ++i) {
        if (stateOf(written, machines, testQueue(), id) == "completed")
            return true;
        std::this_thread::sleep_for(200ms);
    }
    return false;
}

} // namespace review
