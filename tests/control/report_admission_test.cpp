#include "chervilport/control/report_admission.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr auto callTime = 900ms;
constexpr auto tick = 10ms;

/// Workers that report to a member until a report of each is recorded, in virtual time. Each report in progress takes
/// `commitTime`.
struct reporting_workers {
    explicit reporting_workers(std::size_t count)
        : due(count, log_time { 1h })
        , recorded(count, false)
    {
    }

    void advance()
    {
        now += tick;
        for (std::size_t i = 0; i < due.size(); ++i) {
            if (!recorded[i] && now >= due[i])
                send(i);
        }
        std::erase_if(running, [this](const auto& each) {
            if (now < each.end)
                return false;
            recorded[each.worker] = true;
            endReport(reports, each.number);
            return true;
        });
        removeExpiredReports(reports, now);
        if (hasLeader)
            startReports(reports);
        mostInProgress = std::max(mostInProgress, reports.inProgress.size());
    }

    void send(std::size_t worker)
    {
        due[worker] = log_time::max();
        ++sent;
        addReport(reports,
            { now + callTime,
                [this, worker](std::uint64_t number) {
                    running.push_back({ worker, number, now + commitTime });
                },
                [this, worker] { due[worker] = now; } });
    }

    struct running_report {
        std::size_t worker;
        std::uint64_t number;
        log_time end;
    };

    static constexpr auto commitTime = 30ms;
    report_admission reports;
    std::vector<log_time> due;
    std::vector<bool> recorded;
    std::vector<running_report> running;
    log_time now { 1h };
    bool hasLeader = false;
    std::size_t sent = 0;
    std::size_t mostInProgress = 0;
};

} // namespace

// Guards against workers that report again at once on new connections while the group has no leader: 3,000 of them
// made 700 connections a second at each member, which kept the group from its election.
Test(reportAdmission, withoutALeaderAWorkerReportsOnceInTheTimeOfACall)
{
    constexpr std::size_t workers = 1'000;
    reporting_workers pool(workers);
    for (int i = 0; i < 500; ++i)
        pool.advance();
    // Five seconds hold five and a half calls of 900 ms.
    cr_assert_leq(pool.sent, workers * 6);
    cr_assert_eq(pool.mostInProgress, 0);
}

// Guards against a new leader that is drowned by the reports of all workers at once.
Test(reportAdmission, reportsAfterARecoveryAreTakenUpAtABoundedRate)
{
    constexpr std::size_t workers = 1'000;
    reporting_workers pool(workers);
    for (int i = 0; i < 200; ++i)
        pool.advance();
    pool.hasLeader = true;
    for (int i = 0; i < 300; ++i)
        pool.advance();
    cr_assert_leq(pool.mostInProgress, maxReportsInProgress);
    cr_assert(std::all_of(pool.recorded.begin(), pool.recorded.end(), [](bool each) { return each; }));
}

// Guards against a member that takes up no more reports because the ends of earlier ones were lost.
Test(reportAdmission, reportWithoutAnEndTakesNoPlaceForEver)
{
    report_admission reports;
    int started = 0;
    const auto add = [&](log_time deadline) {
        addReport(reports, { deadline, [&](std::uint64_t) { ++started; }, [] {} });
    };
    for (std::size_t i = 0; i < maxReportsInProgress; ++i)
        add(log_time { 1s });
    add(log_time { 3s });
    startReports(reports);
    cr_assert_eq(started, maxReportsInProgress);
    removeExpiredReports(reports, log_time { 2s });
    startReports(reports);
    cr_assert_eq(started, maxReportsInProgress + 1);
}
