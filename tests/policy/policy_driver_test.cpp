#include "benchmarks/policy/policy_driver.h"
#include "benchmarks/policy/stream_generator.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <functional>
#include <optional>

using namespace chervilport;
using namespace chervilport::policy_benchmark;

namespace {

using std::chrono::seconds;

// A site of two racks with two workers each and one job without faults.
event_stream makeOneJobStream(std::int32_t taskCount)
{
    event_stream stream { .site = allProfiles().front() };
    stream.site.hasDomainOutage = false;
    for (std::int32_t i = 0; i < 4; ++i)
        stream.workers.push_back({ "worker" + std::to_string(i), i / 2 });
    stream_job job;
    job.spec.workspace = "rosters";
    job.spec.clientKey = "key0";
    job.spec.taskCount = taskCount;
    job.spec.perTask = { .accelerators = 4, .millicores = 1000, .memoryMb = 1024 };
    job.spec.declaredRunTime = seconds(100);
    job.trueRunTime = seconds(100);
    job.submittedAt = log_time(seconds(1));
    stream.jobs = { job };
    stream.endOfSubmissions = log_time(seconds(1000));
    return stream;
}

using command_change = std::function<void(std::vector<command>&)>;

// The first-fit baseline with its commands changed on the way to the workers.
scheduler makeFaultyScheduler(command_change change)
{
    auto correct = makeScheduler("fifo_first_fit");
    auto faulty = correct;
    faulty.apply = [correct, change = std::move(change)](const event& input, log_time now) {
        auto commands = correct.apply(input, now);
        change(commands);
        return commands;
    };
    return faulty;
}

// Returns the message of the rule that the changed scheduler violates; empty if it violates none.
std::string violatedRule(const event_stream& stream, command_change change)
{
    const auto faulty = makeFaultyScheduler(std::move(change));
    policy_driver driver(stream, faulty);
    try {
        driver.run();
    } catch (const rule_violation& violation) {
        return violation.what();
    }
    return {};
}

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

template <typename type> type* firstOf(std::vector<command>& commands)
{
    for (auto& next : commands) {
        if (auto* found = std::get_if<type>(&next))
            return found;
    }
    return nullptr;
}

} // namespace

// Guards against baselines that leave jobs open or split a gang, which would make the comparison invalid. The driver
// throws on every violated rule.
Test(policyDriver, baselinesStartCompleteGangsAndFinish)
{
    for (const auto& site : allProfiles()) {
        const auto stream = generateStream(site, 900, 51);
        for (const auto* name : { "fifo_first_fit", "fifo_backfill" }) {
            const auto tested = makeScheduler(name);
            policy_driver driver(stream, tested);
            const auto record = driver.run();
            for (std::size_t i = 0; i < stream.jobs.size(); ++i) {
                cr_assert(record.jobs[i].closedAt.has_value(), "%s: job %zu is open", name, i);
                if (isMeasured(stream.jobs[i]))
                    cr_assert(record.jobs[i].completedAt.has_value(), "%s: job %zu did not end", name, i);
                if (!stream.jobs[i].canRun)
                    cr_assert_not(record.jobs[i].completedAt.has_value(), "%s: job %zu cannot run", name, i);
            }
            cr_assert_eq(record.preemptions, 0);
        }
    }
}

// Guards against runs that depend on anything but the stream.
Test(policyDriver, sameStreamGivesSameRun)
{
    const auto stream = generateStream(allProfiles().front(), 900, 52);
    std::vector<log_time> ends;
    for (int round = 0; round < 2; ++round) {
        const auto tested = makeScheduler("fifo_backfill");
        policy_driver driver(stream, tested);
        ends.push_back(driver.run().endedAt);
    }
    cr_assert(ends[0] == ends[1]);
}

// Guards against a driver that shortens or lengthens the run of a gang.
Test(policyDriver, gangRunsForItsTrueRunTime)
{
    const auto stream = makeOneJobStream(3);
    const auto tested = makeScheduler("fifo_first_fit");
    policy_driver driver(stream, tested);
    const auto record = driver.run();
    cr_assert(record.jobs[0].completedAt == *record.jobs[0].firstStartAt + seconds(100));
}

// Guards against an overcommitted worker that the driver does not detect.
Test(policyDriver, detectsOvercommittedWorker)
{
    const auto rule = violatedRule(makeOneJobStream(3), [](std::vector<command>& commands) {
        for (auto& next : commands) {
            if (auto* start = std::get_if<start_task>(&next))
                start->worker = "worker0";
        }
    });
    cr_assert(contains(rule, "overcommits worker worker0"), "%s", rule.c_str());
}

// Guards against a gang of which only a part is started.
Test(policyDriver, detectsPartialGang)
{
    const auto rule = violatedRule(makeOneJobStream(3), [](std::vector<command>& commands) {
        const auto isLastRank = [](const command& next) {
            const auto* start = std::get_if<start_task>(&next);
            return start && start->task.rank == 2;
        };
        commands.erase(std::remove_if(commands.begin(), commands.end(), isLastRank), commands.end());
    });
    cr_assert(contains(rule, "only a part of the gang was started"), "%s", rule.c_str());
}

// Guards against a second attempt that starts while the first one runs.
Test(policyDriver, detectsSecondActiveAttempt)
{
    std::optional<start_task> first;
    const auto rule = violatedRule(makeOneJobStream(1), [&first](std::vector<command>& commands) {
        if (const auto* start = firstOf<start_task>(commands)) {
            first = *start;
        } else if (first) {
            first->task.attempt = 2;
            commands.emplace_back(*first);
        }
    });
    cr_assert(contains(rule, "started while attempt 1 is live"), "%s", rule.c_str());
}

// Guards against members of a gang that continue after another member was lost.
Test(policyDriver, detectsGangThatIsNotStoppedAfterLoss)
{
    auto stream = makeOneJobStream(4);
    stream.faults = { { fault_kind::Down, { 0 }, log_time(seconds(20)), log_time(seconds(900)) } };
    cr_assert(violatedRule(stream, [](std::vector<command>&) {}).empty());
    const auto rule = violatedRule(stream, [](std::vector<command>& commands) {
        const auto isStop = [](const command& next) { return std::holds_alternative<stop_task>(next); };
        commands.erase(std::remove_if(commands.begin(), commands.end(), isStop), commands.end());
    });
    cr_assert(contains(rule, "a part of the gang runs for longer"), "%s", rule.c_str());
}

// Guards against a placement that is less close than required.
Test(policyDriver, detectsMissingAdjacency)
{
    auto stream = makeOneJobStream(2);
    stream.jobs[0].spec.placement = adjacency::Rack;
    const auto rule = violatedRule(stream, [](std::vector<command>& commands) {
        for (auto& next : commands) {
            if (auto* start = std::get_if<start_task>(&next))
                start->worker = start->task.rank == 0 ? "worker0" : "worker3";
        }
    });
    cr_assert(contains(rule, "not as close together"), "%s", rule.c_str());
}

// Guards against a success that is reported before the gang ended.
Test(policyDriver, detectsEarlySuccess)
{
    const auto rule = violatedRule(makeOneJobStream(1), [](std::vector<command>& commands) {
        if (auto* change = firstOf<job_changed>(commands))
            change->state = job_state::Succeeded;
    });
    cr_assert(contains(rule, "reported as succeeded before its end"), "%s", rule.c_str());
}
