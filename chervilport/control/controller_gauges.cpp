#include "chervilport/control/controller_gauges.h"

#include "chervilport/batch/batch_state.h"
#include "chervilport/batch/worker_speeds.h"
#include "chervilport/metrics/metric_registry.h"

namespace chervilport {

namespace {

    void setWorkerGauges(const controller_figures& figures, metric_registry& metrics)
    {
        const auto speeds = batch::countBySpeed(figures.speeds);
        const auto known = figures.state.workers.size();
        metrics.set("chervilport_workers", { { "state", "known" } }, static_cast<double>(known));
        metrics.set("chervilport_workers", { { "state", "usable" } }, static_cast<double>(figures.usableWorkers));
        metrics.set("chervilport_workers_by_speed", { { "speed", "fast" } }, static_cast<double>(speeds.fast));
        metrics.set("chervilport_workers_by_speed", { { "speed", "typical" } }, static_cast<double>(speeds.typical));
        metrics.set("chervilport_workers_by_speed", { { "speed", "slow" } }, static_cast<double>(speeds.slow));
    }

    void setJobGauges(const controller_figures& figures, metric_registry& metrics)
    {
        std::size_t activeJobs = 0;
        std::size_t activeRuns = 0;
        for (const auto& [id, job] : figures.state.jobs) {
            activeJobs += job.phase == batch::job_phase::Active ? 1 : 0;
            activeRuns += job.activeRuns;
        }
        metrics.set("chervilport_jobs_active", {}, static_cast<double>(activeJobs));
        metrics.set("chervilport_runs_active", {}, static_cast<double>(activeRuns));
        for (const auto& [queue, count] : figures.pendingJobs)
            metrics.set("chervilport_jobs_pending", { { "queue", queue } }, static_cast<double>(count));
    }

} // namespace

void setGauges(const controller_figures& figures, metric_registry& metrics)
{
    const auto& state = figures.state;
    metrics.set("chervilport_leader", {}, figures.isLeader ? 1 : 0);
    metrics.set("chervilport_term", {}, static_cast<double>(figures.term));
    metrics.set("chervilport_config_version", {}, static_cast<double>(state.config.version));
    metrics.set("chervilport_domains_evacuated", {}, static_cast<double>(state.evacuatedDomains.size()));
    setWorkerGauges(figures, metrics);
    setJobGauges(figures, metrics);
}

} // namespace chervilport
