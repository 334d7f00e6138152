/// Measures how messages, bytes, processor time and memory of the control plane grow with workers, running tasks,
/// queued jobs, executors, commits and failure domains, on real processes on loopback with small stand-ins.

#include "benchmarks/control/control_probe.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace chervilport;

// Two periods of the lease renewals; a window that is not a multiple of 10 s counts one burst more or less.
constexpr double observationSeconds = 20;
constexpr double settlingSeconds = 11;
constexpr int tasksPerJob = 8;

std::unique_ptr<session_cluster> makeCluster()
{
    auto cluster = std::make_unique<session_cluster>(std::vector<session_instance> {
        { 1, "local", true, true }, { 2, "local", true, false }, { 3, "local", false, false } });
    cluster->startAll();
    waitUntil("all three instances are voters", [&] {
        const auto leader = cluster->leader(1);
        const auto status = leader ? cluster->status(leader) : nlohmann::json::object();
        return status.contains("domain_log") && status["domain_log"]["role"] == "leader"
            && status["domain_log"]["voters"].size() == 3;
    });
    return cluster;
}

void startWorkers(session_cluster& cluster, int count)
{
    if (!count)
        return;
    cluster.startStandin(STANDIN_WORKER_PATH, { 1, 2, 3 }, { "--count", std::to_string(count) });
    waitUntil("all workers joined", [&] { return cluster.status(1)["jobs"]["workers"] == count; });
}

void submitJobs(const session_cluster& cluster, int count, int accelerators)
{
    const nlohmann::json job { { "workspace", "default" }, { "tasks", tasksPerJob },
        { "per_task", { { "accelerators", accelerators }, { "millicores", 100 }, { "memory_mb", 64 } } },
        { "run_time_s", 3600 }, { "payload", R"({"run_ms":3600000})" } };
    for (int i = 0; i < count; ++i)
        sendSessionCall({ "POST", cluster.address(1), "/v1/jobs", {}, job.dump() });
}

nlohmann::json rowOf(const std::string& variable, int value, const std::string& role, const control_rates& rates)
{
    return { { "variable", variable }, { "value", value }, { "role", role }, { "core_share", rates.coreShare },
        { "resident_bytes", rates.residentBytes }, { "peer_bytes_per_s", rates.peerBytes },
        { "peer_messages_per_s", rates.peerMessages }, { "http_bytes_per_s", rates.httpBytes },
        { "http_messages_per_s", rates.httpMessages } };
}

// Observes all instances at the same time and appends a row for each.
void observeRoles(const session_cluster& cluster, const std::string& variable, int value, nlohmann::json& rows)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(settlingSeconds));
    const auto leader = cluster.leader(1);
    std::vector<control_sample> from;
    for (const std::uint64_t id : { 1, 2, 3 })
        from.push_back(sampleInstance(cluster, id));
    std::this_thread::sleep_for(std::chrono::duration<double>(observationSeconds));
    for (const std::uint64_t id : { 1, 2, 3 }) {
        const auto rates = ratesBetween(from[id - 1], sampleInstance(cluster, id));
        rows.push_back(rowOf(variable, value, id == leader ? "domain_leader" : "domain_follower", rates));
    }
    std::cout << variable << ' ' << value << " done" << std::endl;
}

void measureWorkers(nlohmann::json& rows)
{
    for (const int count : { 0, 32, 77, 154 }) {
        const auto cluster = makeCluster();
        startWorkers(*cluster, count);
        observeRoles(*cluster, "workers", count, rows);
    }
}

// Measures running tasks on 77 workers.
void measureTasks(nlohmann::json& rows)
{
    constexpr int workers = 77;
    for (const int tasks : { 160, 312, 616 }) {
        const auto cluster = makeCluster();
        startWorkers(*cluster, workers);
        submitJobs(*cluster, tasks / tasksPerJob, 1);
        waitUntil("all tasks run", [&] { return cluster->status(1)["jobs"]["active_tasks"].get<int>() >= tasks; });
        observeRoles(*cluster, "running_tasks", tasks, rows);
    }
}

// Measures jobs that wait because the only worker is full.
void measureQueue(nlohmann::json& rows)
{
    for (const int queued : { 100, 300, 900 }) {
        const auto cluster = makeCluster();
        startWorkers(*cluster, 1);
        submitJobs(*cluster, queued, 1);
        observeRoles(*cluster, "queued_jobs", queued, rows);
    }
}

void measureExecutors(nlohmann::json& rows)
{
    for (const int count : { 10, 25, 50 }) {
        const auto cluster = makeCluster();
        cluster->startStandin(STANDIN_EXECUTOR_PATH, { 1, 2, 3 }, { "--count", std::to_string(count) });
        observeRoles(*cluster, "executors", count, rows);
    }
}

// Measures commits per second on the domain log.
void measureCommits(nlohmann::json& rows)
{
    for (const int perSecond : { 5, 20, 80 }) {
        const auto cluster = makeCluster();
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const auto leader = cluster->leader(1);
        std::vector<control_sample> from;
        for (const std::uint64_t id : { 1, 2, 3 })
            from.push_back(sampleInstance(*cluster, id));
        const double start = nowSeconds();
        const int total = static_cast<int>(perSecond * observationSeconds);
        for (int i = 0; i < total; ++i) {
            commitOnce(*cluster, 1);
            const double next = start + (i + 1.0) / perSecond;
            std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, next - nowSeconds())));
        }
        for (const std::uint64_t id : { 1, 2, 3 }) {
            const auto rates = ratesBetween(from[id - 1], sampleInstance(*cluster, id));
            rows.push_back(
                rowOf("commits_per_s", perSecond, id == leader ? "domain_leader" : "domain_follower", rates));
        }
        std::cout << "commits_per_s " << perSecond << " done" << std::endl;
    }
}

// Measures idle voters of the fleet log, with one instance per domain.
void measureFleet(nlohmann::json& rows)
{
    for (const int domains : { 1, 3, 5, 7 }) {
        std::vector<session_instance> instances;
        for (int i = 1; i <= domains; ++i)
            instances.push_back({ static_cast<std::uint64_t>(i), "domain-" + std::to_string(i), true, true });
        session_cluster cluster(instances);
        cluster.startAll();
        std::this_thread::sleep_for(std::chrono::duration<double>(settlingSeconds));
        rows.push_back(
            rowOf("fleet_domains", domains, "fleet_leader", observeInstance(cluster, 1, observationSeconds)));
        if (domains > 1)
            rows.push_back(rowOf("fleet_domains", domains, "fleet_voter",
                observeInstance(cluster, static_cast<std::uint64_t>(domains), observationSeconds)));
        std::cout << "fleet_domains " << domains << " done" << std::endl;
    }
}

constexpr std::array<const char*, 6> measures { "core_share", "resident_bytes", "peer_bytes_per_s",
    "peer_messages_per_s", "http_bytes_per_s", "http_messages_per_s" };

// Returns the slope and the intercept of the least-squares line of each measure, for each variable and role.
nlohmann::json slopesOf(const nlohmann::json& rows)
{
    std::map<std::pair<std::string, std::string>, std::vector<nlohmann::json>> series;
    for (const auto& row : rows)
        series[{ row["variable"].get<std::string>(), row["role"].get<std::string>() }].push_back(row);
    auto slopes = nlohmann::json::array();
    for (const auto& [key, points] : series) {
        nlohmann::json slope { { "variable", key.first }, { "role", key.second }, { "points", points.size() } };
        for (const char* const measure : measures) {
            double sumX = 0;
            double sumY = 0;
            double sumXX = 0;
            double sumXY = 0;
            for (const auto& point : points) {
                const double x = point["value"].get<double>();
                const double y = point[measure].get<double>();
                sumX += x;
                sumY += y;
                sumXX += x * x;
                sumXY += x * y;
            }
            const auto count = static_cast<double>(points.size());
            const double denominator = count * sumXX - sumX * sumX;
            const double gradient = denominator > 0 ? (count * sumXY - sumX * sumY) / denominator : 0;
            slope[measure] = { { "slope", gradient }, { "at_zero", (sumY - gradient * sumX) / count } };
        }
        slopes.push_back(std::move(slope));
    }
    return slopes;
}

// Writes the rows as tab-separated lines for plot_capacity.gp.
void writeTable(const nlohmann::json& rows, const std::string& path)
{
    std::ofstream out(path);
    for (const auto& row : rows) {
        out << row["variable"].get<std::string>() << '\t' << row["role"].get<std::string>() << '\t' << row["value"];
        for (const char* const measure : measures)
            out << '\t' << row[measure];
        out << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::string output = "build/bench/capacity.json";
    std::string only;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (std::string(argv[i]) == "--output")
            output = argv[i + 1];
        if (std::string(argv[i]) == "--only")
            only = argv[i + 1];
    }
    const std::vector<std::pair<std::string, void (*)(nlohmann::json&)>> parts {
        { "fleet_domains", measureFleet },
        { "workers", measureWorkers },
        { "running_tasks", measureTasks },
        { "queued_jobs", measureQueue },
        { "executors", measureExecutors },
        { "commits_per_s", measureCommits },
    };
    auto rows = nlohmann::json::array();
    for (const auto& [name, measure] : parts) {
        if (only.empty() || only == name)
            measure(rows);
    }
    std::filesystem::create_directories(std::filesystem::path(output).parent_path());
    std::ofstream(output) << nlohmann::json { { "rows", rows }, { "slopes", slopesOf(rows) } }.dump(1) << '\n';
    writeTable(rows, output + ".tsv");
    return 0;
}
