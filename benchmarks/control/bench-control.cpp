/// Measures the control plane on three real processes on loopback that sync their logs to disk.

#include "benchmarks/control/control_probe.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace chervilport;

constexpr double millisecondsPerSecond = 1'000;
constexpr double bytesPerMb = 1'048'576;
constexpr int sequentialCommits = 500;
constexpr int parallelCallers = 16;
constexpr int parallelCommitsEach = 100;
constexpr int failovers = 30;
constexpr int missedCommits = 1'000;
constexpr int configurationRounds = 10;
constexpr double observationSeconds = 20;
constexpr double settlingSeconds = 12;
constexpr int workersOfDomain = 77;

std::vector<std::uint64_t> othersThan(std::uint64_t id)
{
    std::vector<std::uint64_t> others { 1, 2, 3 };
    std::erase(others, id);
    return others;
}

std::uint64_t waitForLeader(const session_cluster& cluster, const std::vector<std::uint64_t>& ids)
{
    std::uint64_t leader = 0;
    waitUntil("the instances report a leader", [&] {
        for (const auto id : ids) {
            leader = cluster.leader(id);
            if (std::find(ids.begin(), ids.end(), leader) != ids.end())
                return true;
        }
        return false;
    });
    return leader;
}

void waitForThreeVoters(const session_cluster& cluster)
{
    waitUntil("all three instances are voters", [&] {
        const auto leader = cluster.leader(1);
        const auto status = leader ? cluster.status(leader) : nlohmann::json::object();
        return status.contains("domain_log") && status["domain_log"]["role"] == "leader"
            && status["domain_log"]["voters"].size() == 3;
    });
}

void measureCommits(const session_cluster& cluster, nlohmann::json& result)
{
    // Measure the latency of one commit at a time.
    std::vector<double> latencies;
    for (int i = 0; i < sequentialCommits; ++i) {
        const double start = nowSeconds();
        if (!commitOnce(cluster, cluster.leader(1) ? 1 : 2))
            std::cerr << "a commit got an unexpected response\n";
        latencies.push_back((nowSeconds() - start) * millisecondsPerSecond);
    }
    result["commit_p50_ms"] = quantile(latencies, 0.5);
    result["commit_p99_ms"] = quantile(latencies, 0.99);

    // Measure the throughput with parallel callers.
    std::atomic<int> done { 0 };
    std::vector<std::thread> callers;
    callers.reserve(parallelCallers);
    const double start = nowSeconds();
    for (int caller = 0; caller < parallelCallers; ++caller) {
        callers.emplace_back([&] {
            for (int i = 0; i < parallelCommitsEach; ++i)
                done += commitOnce(cluster, 1);
        });
    }
    for (auto& caller : callers)
        caller.join();
    result["commits_per_s"] = done / (nowSeconds() - start);
}

void measureFailover(session_cluster& cluster, nlohmann::json& result)
{
    std::vector<double> times;
    for (int i = 0; i < failovers; ++i) {
        waitForThreeVoters(cluster);
        const auto leader = waitForLeader(cluster, { 1, 2, 3 });
        const auto others = othersThan(leader);
        const double start = nowSeconds();
        cluster.kill(leader);
        waitUntil("a commit succeeds", [&] { return commitOnce(cluster, others.front()); });
        times.push_back((nowSeconds() - start) * millisecondsPerSecond);
        cluster.start(leader);
        waitUntil("the restarted instance reports a leader", [&] { return cluster.leader(leader) != 0; });
    }
    result["failover_p50_ms"] = quantile(times, 0.5);
    result["failover_p99_ms"] = quantile(times, 0.99);
    result["failover_ms"] = times;
}

void measureCatchUp(session_cluster& cluster, nlohmann::json& result)
{
    waitForThreeVoters(cluster);
    const auto leader = waitForLeader(cluster, { 1, 2, 3 });
    const auto follower = othersThan(leader).front();
    cluster.kill(follower);
    for (int i = 0; i < missedCommits; ++i)
        commitOnce(cluster, leader);
    const auto target = cluster.status(leader)["domain_log"]["commit_index"].get<std::uint64_t>();
    const double start = nowSeconds();
    cluster.start(follower);
    waitUntil("the follower caught up", [&] {
        const auto status = cluster.status(follower);
        return status.contains("domain_log") && status["domain_log"]["applied_index"].get<std::uint64_t>() >= target;
    });
    result["catch_up_ms"] = (nowSeconds() - start) * millisecondsPerSecond;
}

std::string environment(int number)
{
    return "[environment]\nname = \"bench\"\nfailure_domains = [\"local\"]\n[policy]\nmax_attempts = "
        + std::to_string(1 + number % 100)
        + "\n[[workspace]]\nname = \"default\"\n[[workspace.domain]]\nname = \"local\"\n";
}

// Returns the time in milliseconds from the response to the promotion until all instances have applied the version.
double propagateOnce(const session_cluster& cluster, std::uint64_t expected, int round)
{
    const auto key = [&](const char* step) { return "Chervilport-Key: bench-" + std::to_string(round) + step; };
    const auto address = cluster.address(1);
    sendSessionCall({ "PUT", address, "/v1/config/trial",
        { key("put"), "Chervilport-Expected-Version: " + std::to_string(expected) }, environment(round) });
    const auto proven = sendSessionCall({ "POST", address, "/v1/config/prove", { key("prove") },
        R"({"version":)" + std::to_string(expected + 1) + "}" });
    const auto hash = proven.json().value("trial_hash", "");
    const auto promoted = sendSessionCall({ "POST", address, "/v1/config/promote", { key("promote") },
        R"({"version":)" + std::to_string(expected + 1) + R"(,"hash":")" + hash + "\"}" });
    if (promoted.status != 200)
        std::cerr << "promotion failed: " << promoted.body << '\n';
    const double start = nowSeconds();
    waitUntil("all instances applied the version", [&] {
        for (const std::uint64_t id : { 1, 2, 3 }) {
            const auto status = cluster.status(id);
            if (!status.contains("configuration") || status["configuration"]["scheduler_version"] != expected + 1)
                return false;
        }
        return true;
    });
    return (nowSeconds() - start) * millisecondsPerSecond;
}

void measurePropagation(const session_cluster& cluster, nlohmann::json& result)
{
    std::vector<double> times;
    times.reserve(configurationRounds);
    for (int round = 0; round < configurationRounds; ++round)
        times.push_back(propagateOnce(cluster, static_cast<std::uint64_t>(round), round));
    result["configuration_spread_ms"] = quantile(times, 1);
}

double totalBytes(const control_rates& rates) { return rates.peerBytes + rates.httpBytes; }

// Measures the load of one of seven domains: 77 workers and 315 running tasks. At 610 jobs a day a domain gets one job
// in 990 s, which is not measurable within 20 s; a second measurement submits one job every 5 s.
void measureLoad(session_cluster& cluster, nlohmann::json& result)
{
    // Observe the leader without workers.
    const auto leader = waitForLeader(cluster, { 1, 2, 3 });
    const auto idle = observeInstance(cluster, leader, observationSeconds);
    result["idle_bytes_per_s"] = totalBytes(idle);
    result["idle_core_share"] = idle.coreShare;

    // Start the workers and the tasks.
    cluster.startStandin(STANDIN_WORKER_PATH, { 1, 2, 3 }, { "--count", std::to_string(workersOfDomain) });
    waitUntil("all workers joined", [&] { return cluster.status(1)["jobs"]["workers"] == workersOfDomain; });
    for (int i = 0; i < 40; ++i) {
        sendSessionCall({ "POST", cluster.address(1), "/v1/jobs", {},
            R"({"workspace":"default","tasks":8,"run_time_s":3600,"payload":"{\"run_ms\":3600000}"})" });
    }
    waitUntil("the jobs run", [&] { return cluster.status(1)["jobs"]["active_tasks"].get<int>() >= 315; });
    // The first full announcements after the start of the tasks are not part of the steady state.
    std::this_thread::sleep_for(std::chrono::duration<double>(settlingSeconds));
    const auto loaded = observeInstance(cluster, leader, observationSeconds);

    // Observe it again while jobs are submitted.
    std::atomic<bool> stop { false };
    std::thread submitter([&] {
        while (!stop) {
            sendSessionCall({ "POST", cluster.address(2), "/v1/jobs", {},
                R"({"workspace":"default","tasks":4,"payload":"{\"run_ms\":2000}"})" });
            std::this_thread::sleep_for(std::chrono::seconds(5));
        }
    });
    const auto busy = observeInstance(cluster, leader, observationSeconds);
    stop = true;
    submitter.join();
    result["loaded_bytes_per_s"] = totalBytes(loaded);
    result["loaded_peer_bytes_per_s"] = loaded.peerBytes;
    result["loaded_http_bytes_per_s"] = loaded.httpBytes;
    result["busy_bytes_per_s"] = totalBytes(busy);
    result["loaded_core_share"] = loaded.coreShare;
    result["resident_mb"] = loaded.residentBytes / bytesPerMb;
}

} // namespace

int main(int argc, char** argv)
{
    std::string output = "build/bench/control.json";
    std::uint64_t seed = 1;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (std::string(argv[i]) == "--seed")
            seed = std::strtoull(argv[i + 1], nullptr, 10);
        if (std::string(argv[i]) == "--output")
            output = argv[i + 1];
    }
    nlohmann::json result { { "seed", seed } };
    session_cluster cluster({ { 1, "local", true, true }, { 2, "local", true, true }, { 3, "local", true, true } });
    cluster.startAll();
    waitForThreeVoters(cluster);
    measureLoad(cluster, result);
    measurePropagation(cluster, result);
    measureCommits(cluster, result);
    measureFailover(cluster, result);
    measureCatchUp(cluster, result);
    std::filesystem::create_directories(std::filesystem::path(output).parent_path());
    std::ofstream(output) << result.dump(2) << '\n';
    std::cout << result.dump(2) << '\n';
    return 0;
}
