#include "cases.h"
#include "client.h"
#include "worker.h"

#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {

namespace {

    using nlohmann::json;
    using namespace std::chrono_literals;

    constexpr std::size_t executors = 8;
    constexpr int rounds = 12;
    constexpr int jobsPerRound = 6;
    const queue_address queue { "queue.example", "/roster/", "key-of-the-tenant" };

    /// A configuration with one route. Its host, path prefix and service stay; its name changes.
    std::string makeConfig(std::uint64_t version, const std::string& route)
    {
        json config { { "version", version } };
        config["routes"] = { { { "name", route }, { "host", queue.host }, { "path_prefix", queue.prefix },
            { "type", "non_idempotent" }, { "timeout_ms", 3'000 }, { "target_duration_ms", 3'000 }, { "priority", 1 },
            { "service", "dispatch" }, { "max_attempts", 3 }, { "stretch", 3.0 }, { "public", false } } };
        config["services"] = { { { "name", "dispatch" }, { "health_path", "/health" }, { "max_conns", 64 },
            { "protocol", "h1" }, { "tls", false }, { "admission_control", false }, { "standby", false } } };
        config["limits"] = { { "max_header_bytes", 16'384 }, { "max_body_bytes", 262'144 },
            { "header_timeout_ms", 3'000 }, { "idle_timeout_ms", 15'000 } };
        config["tenants"] = { { { "name", "tenant" }, { "api_keys", { queue.key } }, { "priority", 1 },
            { "guaranteed_gpus", { { "gpu", 16 } } } } };
        return config.dump();
    }

    std::string makeJob()
    {
        return json {
            { "spec", "roster" },
            { "steps",
                { { { "count", 1 }, { "cpu", 1'000 }, { "mem_mb", 1'024 }, { "gpu", 1 },
                    { "est_duration_ms", 300 } } } }
        }.dump();
    }

    std::string jobId(int round, int number)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%08x%08x", 0x6a000000U + static_cast<unsigned>(round),
            0x6b000000U + static_cast<unsigned>(number));
        return text;
    }

    /// Waits until a job has completed, which shows that the site serves.
    bool serves(record& written, const site& machines)
    {
        const auto id = jobId(0, 0);
        if (submit(written, machines, queue, 0, id, makeJob()) != submission::Accepted)
            return false;
        for (int i = 0; i < 50; ++i) {
            if (stateOf(written, machines, queue, id) == "completed")
                return true;
            std::this_thread::sleep_for(200ms);
        }
        return false;
    }

} // namespace

verdict runCase6(const std::string& folder, const std::string& recordFile, bool isTroubled)
{
    record written(recordFile);
    site machines(folder);
    machines.startAll();
    std::vector<std::unique_ptr<worker>> pool;
    for (std::size_t i = 0; i < executors; ++i) {
        worker_settings settings;
        settings.id = "i-" + std::to_string(i);
        settings.ip = machines.executorIp(i);
        settings.zone = "zone-" + std::to_string(i % site::machinesPerRole);
        settings.rack = "r-" + std::to_string(i / 4);
        settings.service = "dispatch";
        for (std::size_t core = 0; core < site::machinesPerRole; ++core)
            settings.control.push_back(machines.control(core));
        pool.push_back(std::make_unique<worker>(settings, written));
    }
    std::uint64_t version = 1;
    if (putConfig(written, machines, 0, makeConfig(version, "route-0")) != 200)
        return verdict::CouldNotRun;
    std::this_thread::sleep_for(5s);
    if (!serves(written, machines))
        return verdict::CouldNotRun;

    // In each round, clients hand in jobs while the operator removes the route and adds one with another name.
    std::vector<std::string> accepted;
    std::mutex acceptedMutex;
    for (int round = 1; round <= rounds; ++round) {
        std::vector<std::thread> threads;
        if (isTroubled) {
            ++version;
            threads.emplace_back([&, version, round] {
                putConfig(written, machines, static_cast<std::size_t>(round),
                    makeConfig(version, "route-" + std::to_string(round)));
            });
        }
        for (int i = 0; i < jobsPerRound; ++i) {
            threads.emplace_back([&, round, i] {
                std::this_thread::sleep_for(std::chrono::milliseconds(1 + 2 * i));
                const auto id = jobId(round, i);
                if (submit(written, machines, queue, static_cast<std::size_t>(i), id, makeJob())
                    != submission::Accepted)
                    return;
                const std::lock_guard lock(acceptedMutex);
                accepted.push_back(id);
            });
        }
        for (auto& each : threads)
            each.join();
        std::this_thread::sleep_for(1500ms);
    }

    // After `finish_s`, each accepted job has to be done: the executors are idle.
    std::this_thread::sleep_for(14s);
    std::size_t running = 0;
    for (const auto& each : pool)
        running += each->running();
    std::size_t lost = 0;
    for (const auto& id : accepted) {
        std::size_t starts = 0;
        for (const auto& each : pool)
            starts += each->startsOf(id);
        const auto state = stateOf(written, machines, queue, id);
        if (starts > 0 && state == "completed")
            continue;
        ++lost;
        written.write("LOST job " + id + " accepted, starts " + std::to_string(starts) + ", state "
            + state.value_or("no answer"));
    }
    written.write("end: " + std::to_string(accepted.size()) + " jobs accepted, " + std::to_string(lost)
        + " not done 14 s after the last one, tasks running " + std::to_string(running)
        + ", processes ended by themselves:" + machines.endedProcesses());
    return lost > 0 ? verdict::Broken : verdict::Held;
}

} // namespace review
