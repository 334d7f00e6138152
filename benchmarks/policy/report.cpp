#include "benchmarks/policy/report.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace chervilport::policy_benchmark {

namespace {

    using nlohmann::ordered_json;

    constexpr double nsPerMs = 1e6;
    constexpr double nsPerS = 1e9;
    constexpr double msPerHour = 3.6e6;

    double shareOf(std::int64_t part, std::int64_t whole)
    {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 1;
    }

    double hitShare(const job_measures& jobs) { return shareOf(jobs.deadlineHits, jobs.deadlines); }

    ordered_json jobsAsJson(const job_measures& jobs)
    {
        return { { "jobs", jobs.jobs }, { "not_completed", jobs.notCompleted }, { "mean_s", jobs.meanS },
            { "p50_s", jobs.p50S }, { "p95_s", jobs.p95S }, { "p99_s", jobs.p99S },
            { "mean_slowdown", jobs.meanSlowdown }, { "p95_slowdown", jobs.p95Slowdown },
            { "deadlines", jobs.deadlines }, { "deadline_hits", jobs.deadlineHits } };
    }

    double decisionsPerSecond(const decision_cost& cost)
    {
        return cost.totalNs > 0 ? static_cast<double>(cost.decisions) * nsPerS / static_cast<double>(cost.totalNs) : 0;
    }

    ordered_json rowAsJson(const result_row& row)
    {
        const auto& measures = row.measures;
        const auto& cost = row.record.cost;
        const auto& work = row.record.work;
        ordered_json json { { "profile", row.profile }, { "load", row.loadPermille / 1000.0 },
            { "scheduler", row.scheduler }, { "seed", row.seed }, { "mean_completion_s", measures.all.meanS },
            { "p95_completion_s", measures.all.p95S }, { "p95_large_gang_wait_s", measures.p95LargeGangWaitS },
            { "deadline_hit_share", hitShare(measures.all) }, { "fragmentation", measures.fragmentation },
            { "lower_bound_ratio", measures.lowerBoundRatio },
            { "slowest_decision_ms", static_cast<double>(cost.slowestNs) / nsPerMs } };
        json["lower_bound_s"] = measures.lowerBoundS;
        json["mean_completion_common_s"] = measures.meanCommonS;
        json["mean_completion_to_end_s"] = measures.meanToEndS;
        json["mean_large_gang_wait_s"] = measures.meanLargeGangWaitS;
        json["p95_completed_gang_wait_s"] = measures.p95CompletedGangWaitS;
        json["p95_large_gang_first_start_s"] = measures.p95LargeGangFirstStartS;
        json["covered_start_p95_s"] = measures.guaranteedStartP95S;
        json["urgent_start_p99_s"] = measures.urgentStartP99S;
        json["covered_urgent_start_p99_s"] = measures.guaranteedUrgentStartP99S;
        json["unusable_free_share"] = measures.unusableFreeShare;
        json["largest_gang_fragmentation"] = measures.largestGangFragmentation;
        json["useful_accelerator_h"] = static_cast<double>(work.useful) / msPerHour;
        json["lost_by_preemption_accelerator_h"] = static_cast<double>(work.lostByPreemption) / msPerHour;
        json["lost_by_fault_accelerator_h"] = static_cast<double>(work.lostByFault) / msPerHour;
        json["lost_by_expiry_accelerator_h"] = static_cast<double>(work.lostByExpiry) / msPerHour;
        json["preemptions"] = row.record.preemptions;
        json["jobs_not_completed"] = measures.all.notCompleted;
        json["jobs_expired"] = measures.expired;
        json["jobs_wrongly_rejected"] = measures.wronglyRejected;
        json["jobs_open_at_end"] = measures.open;
        json["decisions"] = cost.decisions;
        json["decisions_per_s"] = decisionsPerSecond(cost);
        json["slowest_decision_elapsed_ms"] = static_cast<double>(cost.slowestElapsedNs) / nsPerMs;
        json["slowest_decision_event"] = cost.slowestEvent;
        json["peak_state_bytes"] = cost.peakStateBytes;
        json["all"] = jobsAsJson(measures.all);
        for (std::size_t i = 0; i < categoryCount; ++i)
            json["categories"][categoryNames.at(i)] = jobsAsJson(measures.byCategory.at(i));
        return json;
    }

    const result_row* findRow(
        const std::vector<result_row>& rows, const result_row& reference, const std::string& scheduler)
    {
        const auto found = std::find_if(rows.begin(), rows.end(), [&](const result_row& row) {
            return row.profile == reference.profile && row.loadPermille == reference.loadPermille
                && row.seed == reference.seed && row.scheduler == scheduler;
        });
        return found == rows.end() ? nullptr : &*found;
    }

    void printTarget(const char* name, double value, const char* relation, double bound)
    {
        const bool isMet = relation[0] == '<' ? value <= bound : value > bound;
        std::printf("  %-52s %9.3f %s %8.3f  %s\n", name, value, relation, bound, isMet ? "met" : "MISSED");
    }

    // Compares a row of the decision core with the rows of the baselines on the same stream.
    void printTargets(const std::vector<result_row>& rows, const result_row& row)
    {
        const auto* fifo = findRow(rows, row, "fifo_first_fit");
        const auto* backfill = findRow(rows, row, "fifo_backfill");
        std::printf("%s, load %.1f, seed %llu\n", row.profile.c_str(), row.loadPermille / 1000.0,
            static_cast<unsigned long long>(row.seed));
        if (fifo && row.loadPermille == 900) {
            printTarget(
                "mean completion over strict FIFO", row.measures.all.meanS / fifo->measures.all.meanS, "<=", 0.5);
            std::printf("  %-52s %9.3f\n", "  (lower bound over strict FIFO)", 1 / fifo->measures.lowerBoundRatio);
        }
        if (backfill)
            printTarget("p95 wait of large gangs over backfill",
                row.measures.p95LargeGangWaitS / std::max(backfill->measures.p95LargeGangWaitS, 1.0), "<=", 0.5);
        if (fifo && backfill)
            printTarget("deadline hits, over the better baseline", hitShare(row.measures.all), "> ",
                std::max(hitShare(fifo->measures.all), hitShare(backfill->measures.all)));
        if (row.loadPermille == 700)
            printTarget("mean completion over lower bound", row.measures.lowerBoundRatio, "<=", 1.5);
        printTarget("fragmentation", row.measures.fragmentation, "<=", 0.1);
        printTarget("slowest decision, ms", static_cast<double>(row.record.cost.slowestNs) / nsPerMs, "<=", 50);
        printTarget("state, MB", static_cast<double>(row.record.cost.peakStateBytes) / 1e6, "<=", 16);
    }

} // namespace

void writeJson(const std::string& path, const std::vector<result_row>& rows)
{
    ordered_json json = ordered_json::array();
    for (const auto& row : rows)
        json.push_back(rowAsJson(row));
    const auto folder = std::filesystem::path(path).parent_path();
    if (!folder.empty())
        std::filesystem::create_directories(folder);
    std::ofstream file(path);
    file << json.dump(1) << '\n';
    file.flush();
    if (!file)
        throw std::runtime_error("cannot write " + path);
}

void printTables(const std::vector<result_row>& rows)
{
    std::printf("%-10s %4s %5s %-15s %8s %8s %9s %6s %6s %6s %6s %8s %8s %7s %6s %7s %5s %5s\n", "profile", "load",
        "seed", "scheduler", "mean_s", "p95_s", "gang_w95", "hits", "frag", "unus", "bound", "urg99_s", "cov95_s",
        "lost_h", "lateh", "slow_ms", "exp", "open");
    for (const auto& row : rows) {
        const auto& measures = row.measures;
        std::printf("%-10s %4.1f %5llu %-15s %8.0f %8.0f %9.0f %6.3f %6.3f %6.3f %6.2f %8.1f %8.1f %7.0f %6.0f %7.1f "
                    "%5lld %5lld\n",
            row.profile.c_str(), row.loadPermille / 1000.0, static_cast<unsigned long long>(row.seed),
            row.scheduler.c_str(), measures.all.meanS, measures.all.p95S, measures.p95LargeGangWaitS,
            hitShare(measures.all), measures.fragmentation, measures.unusableFreeShare, measures.lowerBoundRatio,
            measures.guaranteedUrgentStartP99S, measures.guaranteedStartP95S,
            static_cast<double>(row.record.work.lostByPreemption) / msPerHour,
            static_cast<double>(row.record.work.lostByExpiry) / msPerHour,
            static_cast<double>(row.record.cost.slowestNs) / nsPerMs, static_cast<long long>(measures.expired),
            static_cast<long long>(measures.open));
    }
    std::printf("\n");
    for (const auto& row : rows) {
        if (row.scheduler == "chervilport")
            printTargets(rows, row);
    }
}

} // namespace chervilport::policy_benchmark
