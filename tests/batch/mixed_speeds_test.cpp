#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

/// What the scheduler knows of the speeds of the workers.
enum class knowledge {
    None,
    Learnt,
    Given,
};

constexpr int workers = 60;
constexpr int perRack = 12;
constexpr int warmUpGangs = 50;
constexpr int gangs = 250;
constexpr std::int64_t stepMs = 50;
constexpr std::int64_t gangIntervalMs = 400;
constexpr std::int64_t backgroundIntervalMs = 2'000;

double factorOf(worker_number worker)
{
    const auto place = static_cast<std::uint32_t>(worker) * 7 % 5;
    return place == 0 ? 1.6 : (place == 1 ? 0.6 : 1.0);
}

/// A job of the stream.
struct playing_job {
    std::int64_t submittedMs = 0;
    double workMs = 0;
    bool isGang = false;
};

/// Plays urgent gangs of four tasks and background steps of forty single tasks in virtual time.
class mixed_stream {
public:
    explicit mixed_stream(knowledge known)
        : m_known(known)
    {
        m_site.addWorkers(workers, perRack);
        if (known != knowledge::Given)
            return;
        for (const auto& [number, worker] : m_site.state().workers)
            m_site.schedulerState.speeds.workers[number] = { std::log(factorOf(number)), 1 };
    }

    /// Returns the mean completion time of the gangs after the warm-up, in milliseconds.
    double meanCompletionMs()
    {
        for (; m_ended < gangs; m_nowMs += stepMs) {
            if (m_nowMs % gangIntervalMs == 0)
                submitGang();
            if (m_nowMs % backgroundIntervalMs == 0)
                submitBackground();
            m_site.pass();
            endFinishedRuns();
            m_site.advance(stepMs);
        }
        return m_sumMs / (gangs - warmUpGangs);
    }

private:
    void submitGang()
    {
        auto step = gangStep(4, 4);
        step.rackLocal = true;
        m_jobs[m_site.submit(urgentQueue, { step })] = { m_nowMs, m_gangWork(m_random), true };
    }

    void submitBackground()
    {
        m_jobs[m_site.submit(backgroundQueue, { stepOf(40, 1) })] = { m_nowMs, m_gangWork(m_random) * 2, false };
    }

    void endFinishedRuns()
    {
        for (auto each = m_jobs.begin(); each != m_jobs.end();) {
            const auto& [id, job] = *each;
            const auto runs = m_site.activeRuns(id);
            if (job.isGang)
                endGang(id, job, runs);
            else
                endTasks(job, runs);
            each = m_site.job(id).phase == job_phase::Active ? std::next(each) : m_jobs.erase(each);
        }
    }

    /// Ends a gang once its slowest member is done.
    void endGang(const std::string& id, const playing_job& job, const std::vector<run_assigned>& runs)
    {
        if (runs.empty() || !std::all_of(runs.begin(), runs.end(), [&](const auto& run) { return isDone(job, run); }))
            return;
        for (const auto& run : runs)
            learn(job, run);
        m_site.end(runs.front().run, run_end_kind::Done);
        removePaces(m_site.schedulerState.speeds, id);
        if (++m_ended > warmUpGangs)
            m_sumMs += static_cast<double>(m_nowMs - job.submittedMs);
    }

    void endTasks(const playing_job& job, const std::vector<run_assigned>& runs)
    {
        for (const auto& run : runs) {
            if (!isDone(job, run))
                continue;
            learn(job, run);
            m_site.end(run.run, run_end_kind::Done);
        }
    }

    bool isDone(const playing_job& job, const run_assigned& run) const
    {
        const auto startedMs = findTask(m_site.state(), run.run.task)->startedMs;
        return static_cast<double>(m_site.nowMs() - startedMs) >= job.workMs * factorOf(run.worker);
    }

    void learn(const playing_job& job, const run_assigned& run)
    {
        if (m_known == knowledge::Learnt)
            recordPace(m_site.schedulerState.speeds,
                { run.run.task, job.isGang ? urgentQueue : backgroundQueue, run.worker,
                    1 / (job.workMs * factorOf(run.worker)), false });
    }

    knowledge m_known;
    fake_site m_site;
    std::mt19937 m_random { 7 };
    std::lognormal_distribution<double> m_gangWork { std::log(2'000.0), 0.4 };
    std::map<std::string, playing_job> m_jobs;
    std::int64_t m_nowMs = 0;
    double m_sumMs = 0;
    int m_ended = 0;
};

} // namespace

// Guards against placement that gains less from learnt speeds than nine tenths of what known speeds gain.
Test(mixedSpeeds, learntSpeedsGainNineTenthsOfGivenOnes)
{
    const auto blind = mixed_stream(knowledge::None).meanCompletionMs();
    const auto learnt = mixed_stream(knowledge::Learnt).meanCompletionMs();
    const auto given = mixed_stream(knowledge::Given).meanCompletionMs();
    cr_log_info("mean completion: blind %f ms, learnt %f ms, given %f ms", blind, learnt, given);
    cr_assert_lt(given, 0.9 * blind);
    cr_assert_geq(blind - learnt, 0.9 * (blind - given));
}
