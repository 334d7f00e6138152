#include "chervilport/control/batch_controller.h"

#include "chervilport/batch/batch_apply.h"
#include "chervilport/batch/batch_codec.h"
#include "chervilport/batch/pending_jobs.h"
#include "chervilport/batch/ready_step.h"
#include "chervilport/batch/recorded_speeds.h"
#include "chervilport/batch/run_accounting.h"
#include "chervilport/batch/worker_admission.h"
#include "chervilport/control/batch_log.h"
#include "chervilport/control/controller_gauges.h"
#include "chervilport/control/lost_work.h"
#include "chervilport/control/pass_pacing.h"
#include "chervilport/control/run_times.h"
#include "chervilport/control/session_log.h"
#include "chervilport/control/worker_clock.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/logging/event_log.h"
#include "chervilport/metrics/metric_registry.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cmath>
#include <set>
#include <utility>

namespace chervilport {

namespace {

    /// Period of the timer that checks sessions and gangs for due work.
    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// Percentage of `gangStartTimeout` after which the leader stops an incomplete gang, before its members time out.
    constexpr int gangTimeoutPercent = 55;
    /// Margin added to the longest lease that an earlier leader may have granted.
    constexpr std::chrono::milliseconds earlierLeaseMargin { 500 };
    constexpr double msPerSecond = 1'000.0;
    constexpr double percent = 100;

    batch::placement_bounds placementBounds(const worker_bounds& bounds)
    {
        return { bounds.offRackSlowdown, bounds.reclaimTime.count(), bounds.maxStopTime.count() };
    }

} // namespace

struct batch_controller::timer {
    explicit timer(asio::io_context& context)
        : pass(context)
    {
    }
    asio::steady_timer pass;
};

batch_controller::batch_controller(asio::io_context& context, const worker_bounds& bounds, worker_client client,
    group_link link, std::shared_ptr<metric_registry> metrics)
    : m_context(context)
    , m_bounds(bounds)
    , m_client(std::move(client))
    , m_link(std::move(link))
    , m_metrics(std::move(metrics))
    , m_tick(context, tickInterval)
    , m_timer(std::make_unique<timer>(context))
    , m_queue(std::make_shared<command_queue>(context, m_link.propose))
{
}

batch_controller::~batch_controller() = default;

void batch_controller::start()
{
    m_tick.start([this] { tick(); });
}

void batch_controller::stop()
{
    m_stopped = true;
    stepDown();
    m_tick.stop();
    m_timer->pass.cancel();
}

void batch_controller::apply(std::string_view payload)
{
    const auto batch = batch::decodeBatch(payload);
    if (m_leading) {
        recordRunTimes(m_schedulerState.estimates, m_state, batch);
        batch::removeOutdatedSpeeds(m_schedulerState.speeds, m_state, batch);
        countLostWork(
            m_state, batch, [this](const batch::run_ended& ended) { return lossCauseOf(ended); }, *m_metrics);
        logEndedWorkers(m_state, batch, *m_metrics);
    }
    batch::applyBatch(m_state, batch);
    if (m_leading)
        logEndedJobs(m_state, batch, *m_metrics);
    if (!m_leading)
        return;
    // Open sessions for new workers and send the start requests of new runs.
    updateSessions();
    recordDrains(batch);
    startAssigned(batch);
    // Stop the runs of jobs that have ended, and of gangs that have lost a member.
    bool mayStop = false;
    for (const auto& command : batch.commands)
        mayStop = mayStop || std::holds_alternative<batch::job_cancelled>(command)
            || std::holds_alternative<batch::run_ended>(command)
            || std::holds_alternative<batch::worker_crashed>(command);
    if (mayStop)
        stopEndedJobs();
    abortGangs(batch);
    removeEndedPaces(batch);
    requestPass();
}

void batch_controller::removeEndedPaces(const batch::command_batch& batch)
{
    auto jobs = jobsWithEndedRuns(batch);
    for (const auto& command : batch.commands) {
        if (const auto* const cancelled = std::get_if<batch::job_cancelled>(&command))
            jobs.insert(cancelled->job);
    }
    for (const auto& id : jobs) {
        const auto* const job = batch::findJob(m_state, id);
        if (job == nullptr || job->phase != batch::job_phase::Active)
            batch::removePaces(m_schedulerState.speeds, id);
    }
}

void batch_controller::observeStart(const batch::run_assigned& assigned)
{
    const auto& job = m_state.jobs.at(assigned.run.task.job);
    m_metrics->increment("chervilport_runs_started_total", { { "queue", job.queue.name } });
    const bool first = job.activeRuns == 1 && assigned.run.run == 1 && assigned.run.task.step == 0;
    if (first)
        m_metrics->observe("chervilport_queue_wait_seconds",
            { { "queue", job.queue.name }, { "workspace", job.workspace } },
            static_cast<double>(m_state.timeMs - batch::dueMs(job, assigned.run.task.occurrence)) / msPerSecond);
}

void batch_controller::recordGauges() const
{
    controller_figures figures { m_state, m_schedulerState.speeds };
    figures.isLeader = m_leading;
    figures.term = m_term;
    for (const auto& queue : m_state.config.queues)
        figures.pendingJobs[queue.name] = countPendingJobs(queue);
    for (const auto& [number, condition] : conditions())
        figures.usableWorkers += condition.isUsable ? 1 : 0;
    setGauges(figures, *m_metrics);
}

loss_cause batch_controller::lossCauseOf(const batch::run_ended& ended) const
{
    const auto session = m_sessions.find(ended.worker);
    return session == m_sessions.end() ? causeOf(ended.kind) : session->second->lossCauseOf(ended.run, ended.kind);
}

std::string batch_controller::takeSnapshot() const { return batch::encodeState(m_state); }

void batch_controller::loadSnapshot(std::string_view bytes) { m_state = batch::decodeState(bytes); }

void batch_controller::reset()
{
    stepDown();
    m_state = {};
}

void batch_controller::handleStatus(const replica_status& status)
{
    const bool isReadyLeader = status.role == replica_role::Leader && status.ready;
    if (m_leading && (!isReadyLeader || status.term != m_term))
        stepDown();
    if (!m_leading && isReadyLeader && !m_stopped)
        becomeLeader(status.term);
}

void batch_controller::propose(batch::batch_command command, command_queue::callback done)
{
    const auto begin = monotonicNow();
    m_queue->add(std::move(command), [this, begin, done = std::move(done)](proposal_result result) {
        m_metrics->observe("chervilport_commit_seconds",
            { { "result", result == proposal_result::Committed ? "committed" : "unknown" } },
            std::chrono::duration<double>(monotonicNow() - begin).count());
        done(result);
    });
}

void batch_controller::proposeReport(batch::worker_report report, command_queue::callback done)
{
    for (const auto number : batch::replacedWorkers(m_state, report)) {
        const auto session = m_sessions.find(number);
        if (session != m_sessions.end())
            session->second->reportCrash();
    }
    propose(batch::worker_reported { std::move(report) }, std::move(done));
}

void batch_controller::becomeLeader(std::uint64_t term)
{
    m_leading = true;
    m_term = term;
    m_schedulerState = {};
    batch::seedSpeeds(m_schedulerState.speeds, m_state);
    m_speedRecorder = {};
    m_gangs = {};
    m_health.clear();
    m_lastEpoch = 0;
    m_pendingAssignments = 0;
    m_passRequested = false;
    m_leaseEnd = monotonicNow() + localLeaseTime(m_bounds.maxLease) + earlierLeaseMargin;
    logEvent("leadership_taken",
        { { "term", term }, { "workers", m_state.workers.size() }, { "jobs", m_state.jobs.size() },
            { "config_version", m_state.config.version } });
    updateSessions();
    requestPass();
}

void batch_controller::stepDown()
{
    if (!m_leading)
        return;
    m_leading = false;
    logEvent("leadership_lost", { { "term", m_term } }, log_level::Warning);
    for (auto& [number, session] : m_sessions)
        session->close();
    m_sessions.clear();
}

void batch_controller::updateSessions()
{
    // Close the sessions of removed workers.
    std::erase_if(m_sessions, [&](const auto& entry) {
        if (m_state.workers.contains(entry.first))
            return false;
        entry.second->close();
        m_health.erase(entry.first);
        m_schedulerState.reservations.erase(entry.first);
        batch::removeSpeed(m_schedulerState.speeds, entry.first);
        return true;
    });
    // Open sessions for new workers.
    for (const auto& [number, worker] : m_state.workers) {
        if (m_sessions.contains(number))
            continue;
        auto session = std::make_shared<worker_session>(makeHost(number), number, m_leaseEnd);
        m_sessions.emplace(number, session);
        session->open();
    }
}

void batch_controller::recordDrains(const batch::command_batch& batch)
{
    for (const auto& command : batch.commands) {
        const auto* const reported = std::get_if<batch::worker_reported>(&command);
        if (reported == nullptr || !reported->report.draining)
            continue;
        const auto* const worker = batch::findWorker(m_state, reported->report.id);
        const auto session = worker == nullptr ? m_sessions.end() : m_sessions.find(worker->number);
        if (session != m_sessions.end())
            session->second->beginDrain(monotonicNow() + std::chrono::milliseconds(worker->report.drainRemainingMs));
    }
}

bool batch_controller::canHaveLeft(const batch::worker_record& worker) const
{
    const auto session = m_sessions.find(worker.number);
    return worker.report.draining && (session == m_sessions.end() || session->second->canHaveDrained(monotonicNow()));
}

void batch_controller::collectLastEnds(const batch::worker_record& worker, std::function<void(bool)> done)
{
    const auto session = m_sessions.find(worker.number);
    if (session == m_sessions.end())
        return done(true);
    session->second->collectLastEnds(std::move(done));
}

std::size_t batch_controller::countPendingJobs(const batch::queue_config& queue) const
{
    return batch::countPendingJobs(m_state, queue, [this](batch::worker_number worker, const batch::run_ref& run) {
        const auto session = m_sessions.find(worker);
        return session == m_sessions.end() || session->second->hasStarted(run);
    });
}

session_host batch_controller::makeHost(batch::worker_number number)
{
    session_host host;
    host.context = &m_context;
    host.client = &m_client;
    host.bounds = m_bounds;
    host.term = m_term;
    host.takeEpoch = [this] { return ++m_lastEpoch; };
    host.state = [this]() -> const batch::batch_state& { return m_state; };
    host.mayExecute = [this] { return m_leading && m_link.mayExecute(); };
    host.propose = [this](batch::batch_command command, std::function<void(proposal_result)> done) {
        propose(std::move(command), std::move(done));
    };
    host.changed = [this] { requestPass(); };
    host.listedPartially = [this](const poll_response& response) {
        m_metrics->increment(
            "chervilport_worker_lists_partial_total", { { "reason", std::string(partialReasonOf(response)) } });
    };
    host.started = [this](const batch::run_ref& run) { recordStartedRun(run); };
    host.progressed = [this](const batch::pace_sample& sample) { recordProgress(sample); };
    host.ended = [this, number](const batch::run_ref&, batch::run_end_kind kind) {
        m_metrics->increment("chervilport_runs_ended_total", { { "how", std::string(batch::nameOf(kind)) } });
        if (recordEnd(m_health[number], kind, monotonicNow()))
            logEvent("worker_quarantined", { { "worker", static_cast<std::uint32_t>(number) } }, log_level::Warning);
    };
    return host;
}

void batch_controller::recordProgress(batch::pace_sample sample)
{
    const auto* const job = batch::findJob(m_state, sample.task.job);
    const auto* const worker = batch::findWorker(m_state, sample.worker);
    if (job == nullptr || job->phase != batch::job_phase::Active || worker == nullptr)
        return;
    // A long-running task reports its speed as progress, and a task away from its data is slow on any worker.
    const auto& spec = job->request.steps[sample.task.step];
    if (spec.longRunning || (!spec.dataRack.empty() && spec.dataRack != worker->report.rack))
        return;
    sample.queue = job->queue.name;
    auto& speeds = m_schedulerState.speeds;
    batch::recordPace(speeds, sample);
    if (const auto slowness = batch::takeChangedSlowness(speeds, sample.worker))
        logEvent("worker_speed",
            { { "worker", worker->report.id }, { "slowness_percent", std::lround(*slowness * percent) },
                { "samples", speeds.workers.at(sample.worker).samples } });
}

void batch_controller::tick()
{
    if (!m_leading)
        return;
    const auto now = monotonicNow();
    const auto sessions = m_sessions;
    for (const auto& [number, session] : sessions)
        session->tick(now);
    for (const auto& gang : takeIncomplete(m_gangs, now, m_bounds.gangStartTimeout * gangTimeoutPercent / 100))
        stopGang(gang, loss_cause::GangIncomplete);
    if (m_link.mayExecute()) {
        for (auto& observed : takeSpeedsToRecord(m_speedRecorder, m_schedulerState.speeds, m_state, now))
            propose(observed, [](proposal_result) {});
    }
    requestPass();
}

void batch_controller::stopEndedJobs()
{
    for (const auto& [id, job] : m_state.jobs) {
        if (job.phase == batch::job_phase::Active || job.activeRuns == 0)
            continue;
        for (const auto& [number, occurrence] : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& tasks = occurrence.steps[step].tasks;
                for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                    const auto session = m_sessions.find(tasks[i].worker);
                    if (session != m_sessions.end())
                        session->second->stopRun({ { id, number, step, i }, tasks[i].lastRun }, loss_cause::Cancelled);
                }
            }
        }
    }
}

void batch_controller::recordStartedRun(const batch::run_ref& run)
{
    const auto* const job = batch::findJob(m_state, run.task.job);
    const auto* const step = batch::findStep(m_state, run.task);
    if (job == nullptr || step == nullptr || !job->request.steps[run.task.step].gang)
        return;
    bool complete = true;
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
        auto member = run;
        member.task.index = i;
        const auto session = m_sessions.find(step->tasks[i].worker);
        complete = complete && session != m_sessions.end() && session->second->hasStarted(member);
    }
    recordStart(m_gangs, run, complete, monotonicNow());
}

void batch_controller::stopGang(const gang_run& gang, loss_cause cause)
{
    const auto* const step = batch::findStep(m_state, gang.task);
    if (step == nullptr)
        return;
    bool stopped = false;
    for (std::uint32_t i = 0; i < step->tasks.size(); ++i) {
        auto member = gang;
        member.task.index = i;
        const auto session = m_sessions.find(step->tasks[i].worker);
        if (session == m_sessions.end() || !batch::isActive(m_state, member, step->tasks[i].worker))
            continue;
        session->second->stopRun(member, cause);
        stopped = true;
    }
    const bool isIncomplete = cause == loss_cause::GangIncomplete;
    if (stopped)
        logEvent(
            "gang_stopped", { { "gang", describe(gang) }, { "reason", isIncomplete ? "incomplete" : "member ended" } });
}

void batch_controller::abortGangs(const batch::command_batch& batch)
{
    for (const auto& command : batch.commands) {
        const auto* const ended = std::get_if<batch::run_ended>(&command);
        if (ended == nullptr || ended->kind == batch::run_end_kind::Done)
            continue;
        const auto* const job = batch::findJob(m_state, ended->run.task.job);
        if (job == nullptr || !job->request.steps[ended->run.task.step].gang)
            continue;
        // The other members would only wait for the ended one, so stop them too.
        removeGang(m_gangs, gangOf(ended->run));
        stopGang(gangOf(ended->run), loss_cause::GangMemberEnded);
    }
}

void batch_controller::requestPass()
{
    if (m_passRequested || m_pendingAssignments > 0 || !m_leading)
        return;
    m_passRequested = true;
    m_timer->pass.expires_after(passPauseAfter(m_lastPassTime));
    m_timer->pass.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->m_passRequested = false;
        self->runPass();
    });
}

std::map<batch::worker_number, batch::worker_condition> batch_controller::conditions() const
{
    const auto now = monotonicNow();
    std::map<batch::worker_number, batch::worker_condition> conditionsByWorker;
    for (const auto& [number, session] : m_sessions) {
        batch::worker_condition condition { session->isUsable(), 0 };
        const auto health = m_health.find(number);
        if (health != m_health.end()) {
            condition.isUsable = condition.isUsable && isHealthy(health->second, now);
            condition.failureWeight = failureWeightOf(health->second);
        }
        conditionsByWorker.emplace(number, condition);
    }
    return conditionsByWorker;
}

void batch_controller::runPass()
{
    if (!m_leading || m_pendingAssignments > 0 || !m_link.mayExecute())
        return;
    const auto begin = monotonicNow();
    auto plan = batch::planPass(m_state, conditions(), m_schedulerState, placementBounds(m_bounds), wallMs());
    m_lastPassTime = monotonicNow() - begin;
    m_metrics->observe("chervilport_pass_seconds", {}, std::chrono::duration<double>(m_lastPassTime).count());
    logWaits(m_waits, plan.waiting, *m_metrics);
    // Stop the preempted runs. Their capacity is free once their ends are committed.
    for (const auto& [run, beneficiary] : plan.preempted) {
        const auto* const task = batch::findTask(m_state, run.task);
        const auto session = task == nullptr ? m_sessions.end() : m_sessions.find(task->worker);
        if (session == m_sessions.end())
            continue;
        m_metrics->increment("chervilport_runs_preempted_total", {});
        logEvent("run_preempted",
            { { "run", describe(run) }, { "worker", m_state.workers.at(task->worker).report.id },
                { "for", beneficiary } });
        session->second->stopRun(run, loss_cause::Preempted);
    }
    // Propose the assignments. The next pass waits until all of them are committed or lost.
    if (plan.assigned.empty())
        return;
    m_pendingAssignments = plan.assigned.size();
    for (const auto& each : plan.assigned) {
        propose(each, [weak = weak_from_this(), term = m_term](proposal_result) {
            const auto self = weak.lock();
            if (!self || self->m_term != term || self->m_pendingAssignments == 0)
                return;
            if (--self->m_pendingAssignments == 0)
                self->requestPass();
        });
    }
}

void batch_controller::startAssigned(const batch::command_batch& batch)
{
    for (const auto& command : batch.commands) {
        const auto* const assigned = std::get_if<batch::run_assigned>(&command);
        if (assigned == nullptr || !batch::isActive(m_state, assigned->run, assigned->worker))
            continue;
        const auto session = m_sessions.find(assigned->worker);
        if (session == m_sessions.end())
            continue;
        const auto slowness = batch::slownessOf(m_schedulerState.speeds, assigned->worker);
        logEvent("run_assigned",
            { { "run", describe(assigned->run) }, { "worker", m_state.workers.at(assigned->worker).report.id },
                { "slowness_percent", std::lround(slowness * percent) } });
        observeStart(*assigned);
        session->second->startRun(assigned->run);
    }
}

} // namespace chervilport
