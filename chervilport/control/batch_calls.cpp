#include "chervilport/control/batch_calls.h"

#include "chervilport/batch/config_check.h"
#include "chervilport/batch/worker_admission.h"
#include "chervilport/core/chervilport_error.h"
#include "chervilport/logging/event_log.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    /// Logs the outcome of a submission, with what was recorded of the queue.
    void logAcceptedJob(const batch::batch_state& state, const std::string& id, bool committed)
    {
        const auto* const job = batch::findJob(state, id);
        if (!committed || job == nullptr) {
            logEvent("job_accepted", { { "job", id }, { "outcome", "unknown" } });
            return;
        }
        logEvent("job_accepted",
            { { "job", id }, { "outcome", "committed" }, { "queue", job->queue.name },
                { "service", job->queue.service }, { "priority", job->queue.priority },
                { "max_attempts", job->queue.maxAttempts }, { "config_version", state.config.version } });
    }

    void proposeLeave(batch_controller& jobs, const std::string& id, batch::worker_number number,
        std::int64_t incarnation, call_result_callback done)
    {
        jobs.propose(batch::incarnation_ended { number, incarnation },
            [id, incarnation, done = std::move(done)](proposal_result result) {
                const bool committed = result == proposal_result::Committed;
                logEvent("worker_left",
                    { { "worker", id }, { "incarnation", incarnation },
                        { "outcome", committed ? "committed" : "unknown" } });
                done(committed ? call_result::Applied : call_result::Unknown);
            });
    }

    std::size_t countWorkers(const batch::batch_state& state, const std::string& failureDomain)
    {
        return static_cast<std::size_t>(std::count_if(state.workers.begin(), state.workers.end(),
            [&](const auto& entry) { return entry.second.report.failureDomain == failureDomain; }));
    }

    void changeEvacuation(
        batch_controller& jobs, const std::string& failureDomain, bool isEvacuated, call_result_callback done)
    {
        // Propose even when the state shows no change: an earlier change may be in the log and not applied yet.
        const auto workers = countWorkers(jobs.state(), failureDomain);
        jobs.propose(batch::evacuation_changed { failureDomain, isEvacuated },
            [failureDomain, isEvacuated, workers, done = std::move(done)](proposal_result result) {
                const bool committed = result == proposal_result::Committed;
                logEvent(isEvacuated ? "domain_evacuated" : "domain_restored",
                    { { "domain", failureDomain }, { "workers", workers },
                        { "outcome", committed ? "committed" : "unknown" } });
                done(committed ? call_result::Applied : call_result::Unknown);
            });
    }

} // namespace

void submitJob(
    batch_controller& jobs, batch::job_request request, const batch::resolved_call& resolved, call_result_callback done)
{
    if (batch::findJob(jobs.state(), request.id) != nullptr) {
        logEvent("job_resent", { { "job", request.id } });
        done(call_result::Applied);
        return;
    }
    logEvent("job_submitted",
        { { "job", request.id }, { "queue", resolved.queue->name }, { "workspace", resolved.workspace },
            { "steps", request.steps.size() }, { "tasks", request.steps.front().count },
            { "accelerators", request.steps.front().demand.accelerators },
            { "config_version", jobs.state().config.version } });
    auto id = request.id;
    jobs.propose(batch::job_submitted { std::move(request), *resolved.queue, resolved.workspace },
        [&jobs, id = std::move(id), done = std::move(done)](proposal_result result) {
            const bool committed = result == proposal_result::Committed;
            logAcceptedJob(jobs.state(), id, committed);
            done(committed ? call_result::Applied : call_result::Unknown);
        });
}

void cancelJob(batch_controller& jobs, const std::string& id, call_result_callback done)
{
    // Propose it for an unknown job as well: its submission may be proposed already, or still be on its way.
    jobs.propose(batch::job_cancelled { id }, [&jobs, id, done = std::move(done)](proposal_result result) {
        const bool committed = result == proposal_result::Committed;
        const bool isKnown = batch::findJob(jobs.state(), id) != nullptr;
        logEvent("job_cancelled",
            { { "job", id }, { "outcome", committed ? "committed" : "unknown" },
                { "known", isKnown ? "true" : "false" } });
        if (!committed)
            done(call_result::Unknown);
        else
            done(isKnown ? call_result::Applied : call_result::NoSuchJob);
    });
}

const batch::job_record& showJob(const batch_controller& jobs, std::string_view id)
{
    const auto* const job = batch::findJob(jobs.state(), id);
    if (job == nullptr)
        throw chervilport_error(error_kind::Gone, "there is no job with id " + std::string(id));
    return *job;
}

void applyConfig(batch_controller& jobs, batch::site_config config, call_result_callback done)
{
    const auto faults = batch::findConfigFaults(config);
    if (!faults.empty())
        throw chervilport_error(error_kind::InvalidRequest, faults.front());
    const auto currentVersion = jobs.state().config.version;
    const auto version = config.version;
    if (version <= currentVersion) {
        logEvent("config_not_newer", { { "version", version }, { "held", currentVersion } });
        done(call_result::Applied);
        return;
    }
    jobs.propose(batch::config_applied { std::move(config) },
        [version, currentVersion, done = std::move(done)](proposal_result result) {
            const bool committed = result == proposal_result::Committed;
            logEvent("config_applied",
                { { "version", version }, { "before", currentVersion },
                    { "outcome", committed ? "committed" : "unknown" } });
            done(committed ? call_result::Applied : call_result::Unknown);
        });
}

const batch::site_config& showConfig(const batch_controller& jobs)
{
    if (jobs.state().config.version == 0)
        throw chervilport_error(error_kind::Unavailable, "there is no configuration yet");
    return jobs.state().config;
}

void evacuateDomain(batch_controller& jobs, const std::string& failureDomain, call_result_callback done)
{
    changeEvacuation(jobs, failureDomain, true, std::move(done));
}

void restoreDomain(batch_controller& jobs, const std::string& failureDomain, call_result_callback done)
{
    changeEvacuation(jobs, failureDomain, false, std::move(done));
}

void reportWorker(batch_controller& jobs, batch::worker_report report, call_result_callback done)
{
    if (batch::isOutdated(jobs.state(), report) || !batch::changesWorker(jobs.state(), report)) {
        done(call_result::Applied);
        return;
    }
    if (batch::isOfUnknownService(jobs.state(), report)) {
        logEvent("worker_report_ignored",
            { { "worker", report.id }, { "address", report.address }, { "service", report.service },
                { "config_version", jobs.state().config.version } },
            log_level::Warning);
        done(call_result::Applied);
        return;
    }
    const auto id = report.id;
    const char* const condition = report.draining ? "draining" : "ready";
    jobs.proposeReport(std::move(report), [id, condition, done = std::move(done)](proposal_result result) {
        const bool committed = result == proposal_result::Committed;
        logEvent("worker_seen",
            { { "worker", id }, { "condition", condition }, { "outcome", committed ? "committed" : "unknown" } });
        done(committed ? call_result::Applied : call_result::Unknown);
    });
}

void removeWorker(batch_controller& jobs, const std::string& id, call_result_callback done)
{
    const auto* const worker = batch::findWorker(jobs.state(), id);
    if (worker == nullptr) {
        done(call_result::Applied);
        return;
    }
    const auto incarnation = worker->report.incarnation;
    if (!jobs.canHaveLeft(*worker)) {
        // The call is that of an earlier incarnation: one relayed by an instance that was suspended arrives seconds
        // late. If it is not, the runs of the worker end with their leases.
        logEvent("worker_leave_ignored",
            { { "worker", id }, { "incarnation", incarnation },
                { "condition", worker->report.draining ? "draining" : "ready" } },
            log_level::Warning);
        done(call_result::Applied);
        return;
    }
    // A worker leaves as soon as its last run has ended, so the end may not have been read yet. Commands are applied in
    // the order in which they are proposed.
    jobs.collectLastEnds(*worker,
        [controller = jobs.shared_from_this(), id, number = worker->number, incarnation, done = std::move(done)](
            bool hasAllEnds) {
            if (hasAllEnds) {
                proposeLeave(*controller, id, number, incarnation, done);
                return;
            }
            // The worker stays until it has listed the other ends, or calls again.
            logEvent("worker_leave_deferred", { { "worker", id }, { "incarnation", incarnation } }, log_level::Warning);
            done(call_result::Unknown);
        });
}

} // namespace chervilport
