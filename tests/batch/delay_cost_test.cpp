#include "chervilport/batch/delay_cost.h"
#include "chervilport/batch/pass_order.h"
#include "chervilport/batch/run_accounting.h"
#include "tests/batch/fake_site.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <random>
#include <rapidcheck.h>
#include <tuple>
#include <vector>

using namespace chervilport::batch;
using namespace chervilport::batch_tests;

namespace {

delay_cost costOf(double value, double objectiveMs, double remainingMs, double work)
{
    return { value, objectiveMs, expiryFactor * objectiveMs, remainingMs, work };
}

rc::Gen<delay_cost> anyCost()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 100), rc::gen::inRange(500, 30'000),
                            rc::gen::inRange(200, 20'000), rc::gen::inRange(1, 5'000)),
        [](const std::tuple<int, int, int, int>& parts) {
            return costOf(std::get<0>(parts), std::get<1>(parts), std::get<2>(parts), std::get<3>(parts));
        });
}

/// A job of an overload that is played on a few places.
struct overload_job {
    delay_cost cost;
    std::int64_t priority = 0;
    double dueMs = 0;
};

/// An overload of short urgent jobs and longer jobs of two lower priorities: about 1.5 times what the places can do.
std::vector<overload_job> makeOverload(std::uint32_t seed)
{
    constexpr int jobs = 300;
    constexpr double lengthMs = 60'000;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> due(0, lengthMs);
    std::uniform_real_distribution<double> spread(0.6, 1.6);
    std::discrete_distribution<int> kind({ 6, 2, 2 });
    std::vector<overload_job> made;
    for (int i = 0; i < jobs; ++i) {
        const auto priority = kind(random);
        const double remaining = spread(random) * (priority == 0 ? 2'100 : (priority == 1 ? 5'800 : 5'200));
        const double objective = priority == 0 ? 1.5 * remaining + 250 : 3 * remaining + 1'000;
        const double value = priority == 0 ? 4 : (priority == 1 ? 2 : 1);
        made.push_back({ costOf(value, objective, remaining, remaining / 1'000), priority, due(random) });
    }
    std::sort(made.begin(), made.end(),
        [](const overload_job& left, const overload_job& right) { return left.dueMs < right.dueMs; });
    return made;
}

/// Returns the key by which steps were ordered before their cost of delay was known: on time, late, expired; then by
/// priority, by whether a job below the highest priority has used most of its slack, and by due time. The lowest key
/// goes first.
auto lexicographicKey(const overload_job& job, double nowMs)
{
    constexpr double riskSlackRatio = 0.65;
    const auto age = nowMs - job.dueMs;
    const auto finish = age + job.cost.remainingMs;
    const int status = finish <= job.cost.objectiveMs ? 0 : (finish <= job.cost.expiryMs ? 1 : 2);
    const bool atRisk = job.priority > 0 && age > riskSlackRatio * (job.cost.objectiveMs - job.cost.remainingMs);
    return std::tuple(status, job.priority, atRisk, job.dueMs);
}

/// Returns the value of the results when the waiting jobs are started on places in the given order.
template <typename key_function> double playOverload(std::vector<overload_job> jobs, const key_function& key)
{
    constexpr std::size_t places = 10;
    std::vector<double> freeAt(places, 0);
    double total = 0;
    while (!jobs.empty()) {
        auto place = std::min_element(freeAt.begin(), freeAt.end());
        const double now = std::max(*place, jobs.front().dueMs);
        auto best = jobs.begin();
        for (auto each = jobs.begin(); each != jobs.end() && each->dueMs <= now; ++each) {
            if (key(*each, now) < key(*best, now))
                best = each;
        }
        const auto age = now - best->dueMs + best->cost.remainingMs;
        constexpr double lateValue = 0.3;
        total += best->cost.value * (age <= best->cost.objectiveMs ? 1 : (age <= best->cost.expiryMs ? lateValue : 0));
        *place = now + best->cost.remainingMs;
        jobs.erase(best);
    }
    return total;
}

} // namespace

// Load: a burst of urgent jobs that have just missed their objective beside patient work that is on time. Guards
// against urgent jobs that lose their late value as well while work that could wait without loss is started.
Test(delayCost, lateUrgentJobGoesBeforeWorkThatCanWait)
{
    constexpr double waitMs = 2'500;
    const auto urgent = costOf(4, 3'400, 2'100, 100);
    const auto patient = costOf(1, 18'600, 5'200, 100);
    const double urgentAgeMs = 7'500;
    cr_assert_gt(urgentAgeMs + urgent.remainingMs, urgent.objectiveMs);
    cr_assert_gt(urgencyOf(urgent, urgentAgeMs, waitMs), urgencyOf(patient, 0, waitMs));
}

// Guards against an order that depends on whether times are given in milliseconds or in another unit.
Test(delayCost, orderDoesNotDependOnTheUnitOfTime)
{
    cr_assert(rc::check("the scaled urgencies have the same order", [] {
        const auto left = *anyCost();
        const auto right = *anyCost();
        const auto age = *rc::gen::inRange(0, 20'000);
        const auto scale = *rc::gen::inRange(2, 50);
        const auto scaled = [&](delay_cost cost) {
            cost.objectiveMs *= scale;
            cost.expiryMs *= scale;
            cost.remainingMs *= scale;
            return cost;
        };
        constexpr double waitMs = 2'000;
        const auto leftUrgency = urgencyOf(left, age, waitMs);
        const auto rightUrgency = urgencyOf(right, age, waitMs);
        const auto scaledLeft = urgencyOf(scaled(left), static_cast<double>(age) * scale, waitMs * scale);
        const auto scaledRight = urgencyOf(scaled(right), static_cast<double>(age) * scale, waitMs * scale);
        // The ratio of two urgencies stays the same; the products avoid a division by 0.
        const auto crossed = leftUrgency * scaledRight;
        RC_ASSERT(std::abs(crossed - rightUrgency * scaledLeft) <= 1e-6 * crossed + 1e-30);
    }));
}

// Guards against a result that gains value by coming later, and against a negative loss.
Test(delayCost, valueNeverGrowsWithAge)
{
    cr_assert(rc::check("a later result is not worth more", [] {
        const auto cost = *anyCost();
        const auto age = *rc::gen::inRange(0, 60'000);
        const auto delay = *rc::gen::inRange(0, 60'000);
        RC_ASSERT(expectedValue(cost, age) <= cost.value);
        RC_ASSERT(delayLoss(cost, age, delay) >= 0);
    }));
}

// Load: a stream of jobs that are about to miss their objective, for minutes. Guards against a job that has lost its
// value and starves behind them.
Test(delayCost, jobWithoutValueBecomesUrgentAgain)
{
    constexpr double waitMs = 2'500;
    const auto cost = costOf(1, 10'000, 5'000, 100);
    double last = 0;
    for (double age = 40'000; age <= 340'000; age += 10'000) {
        const auto urgency = urgencyOf(cost, age, waitMs);
        cr_assert_geq(urgency, last);
        last = urgency;
    }
    const auto aboutToExpire = urgencyOf(cost, cost.expiryMs - cost.remainingMs - waitMs / 2, waitMs);
    cr_assert_geq(last, aboutToExpire);
}

// Guards against equal jobs that overtake each other.
Test(delayCost, equalStepsKeepTheOrderOfTheirDueTimes)
{
    fake_site site;
    const auto first = site.submit(normalQueue, { stepOf(4, 1) });
    const auto second = site.submit(normalQueue, { stepOf(4, 1) });
    std::vector<ordered_step> steps;
    for (const auto& [id, due] : { std::pair(second, 2'000), std::pair(first, 1'000) }) {
        ordered_step next;
        next.step.job = &site.job(id);
        next.step.jobDueMs = due;
        next.urgency = 1;
        steps.push_back(std::move(next));
    }
    sortForPass(steps);
    cr_assert(steps.front().step.job->request.id == first);
}

// Load: recorded shapes of an overload of 1.5 times the room. Guards against an order that costs callers more than the
// order by objective status and priority.
Test(delayCost, overloadCostsCallersLessThanTheLexicographicOrder)
{
    constexpr double waitMs = 1'800;
    double byUrgency = 0;
    double byStatus = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        const auto jobs = makeOverload(seed);
        byUrgency += playOverload(jobs, [](const overload_job& job, double now) {
            return std::tuple(-urgencyOf(job.cost, now - job.dueMs, waitMs), job.priority, job.dueMs);
        });
        byStatus += playOverload(jobs, [](const overload_job& job, double now) { return lexicographicKey(job, now); });
    }
    cr_assert_geq(byUrgency, byStatus, "value %.1f, %.1f before", byUrgency, byStatus);
}

// Load: an urgent gang without free workers in a pool of workers of two speeds. Guards against a preemption that frees
// the slow workers because less work is lost there, so that the gang misses its objective.
Test(delayCost, preemptionPrefersWorkersThatAreFastEnough)
{
    fake_site site;
    site.addWorkers(4);
    const auto filler = site.submit(backgroundQueue, { stepOf(32, 1) });
    site.pass();
    site.advance(500);
    // Two workers take twice as long.
    auto& speeds = site.schedulerState.speeds;
    for (const auto& [number, worker] : site.state().workers)
        speeds.workers[number] = { static_cast<std::uint32_t>(number) <= 2 ? 0.7 : 0.0, 20 };
    const auto urgent = site.submit(urgentQueue, { gangStep(2, 8) });
    // The estimate of 2 s leaves 0.5 s of slack on a typical worker.
    site.advance(4'500);
    const auto preempted = site.pass().preempted;
    cr_assert_eq(preempted.size(), 16);
    for (const auto& each : preempted) {
        const auto worker = findTask(site.state(), each.run.task)->worker;
        cr_assert_gt(static_cast<std::uint32_t>(worker), 2);
    }
}
