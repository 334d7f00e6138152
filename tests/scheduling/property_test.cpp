#include "tests/scheduling/fake_domain.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilport;
using namespace chervilport::scheduling_tests;

namespace {

constexpr std::int32_t racks = 3;
constexpr std::int32_t perRack = 3;
constexpr std::int32_t stepsPerSequence = 160;

std::string workerName(std::int32_t index)
{
    return "w" + std::to_string(index / perRack) + "-" + std::to_string(index % perRack);
}

std::int32_t below(std::int32_t bound) { return *rc::gen::inRange(0, bound); }

job_spec randomSpec(log_time now)
{
    const auto workspaces = std::array<std::string, 3> { "main", "other", "free" };
    auto spec = gangOf(1 + below(below(2) ? 4 : 20), static_cast<adjacency>(below(4)), workspaces.at(below(3)));
    spec.perTask = { 1 + below(2), 4'000 * (1 + below(3)), 8'192 * (1 + below(3)) };
    spec.kind = "kind" + std::to_string(below(3));
    spec.jobClass = static_cast<job_class>(below(3));
    spec.team = below(2) ? "blue" : "";
    spec.preemptible = below(4) != 0;
    spec.checkpointable = below(2) != 0;
    spec.declaredRunTime = std::chrono::minutes(1 + below(120));
    if (below(3) == 0)
        spec.deadline = now + std::chrono::minutes(1 + below(400));
    return spec;
}

void configureSite(fake_domain& domain)
{
    const auto demand = gangOf(1).perTask;
    domain.configure({ { .name = "main",
                           .guarantee = { { 1, 12, demand, adjacency::Rack }, { 2, 4, demand, adjacency::Worker } } },
        { .name = "other", .guarantee = { { 1, 20, demand, adjacency::AdjacentRacks } }, .teams = { { "blue", 16 } } },
        { .name = "free", .maxBorrowedAccelerators = 24 } });
    domain.joinFleet(racks, perRack);
}

std::vector<placed_task> liveTasks(const fake_domain& domain)
{
    std::vector<placed_task> tasks;
    for (const auto& [task, awaited] : domain.live)
        tasks.push_back(task);
    return tasks;
}

void cancelSome(fake_domain& domain, bool isMassCancellation)
{
    const auto jobs = listJobs(*domain.state, "", 200);
    for (const auto& job : jobs)
        if (job.state < job_state::Succeeded && (isMassCancellation ? below(2) == 0 : below(8) == 0))
            domain.apply(job_cancelled { job.job });
}

void changeWorker(fake_domain& domain)
{
    const auto index = below(racks * perRack);
    const auto name = workerName(index);
    if (domain.rackOf.contains(name) && below(2) == 0) {
        domain.lose(name);
        return;
    }
    // The worker returns under a new incarnation, sometimes with a task that it should no longer run.
    static_cast<void>(domain.rackOf.erase(name));
    std::vector<task_id> tasks;
    const auto incarnation = static_cast<std::uint64_t>(domain.history.size() + 2);
    if (below(3) == 0)
        tasks.push_back({ static_cast<job_id>(100'000 + index), 1, 0 });
    domain.join(name, index / perRack, incarnation, tasks);
}

void confirmOne(fake_domain& domain)
{
    const auto tasks = liveTasks(domain);
    if (tasks.empty())
        return;
    const auto& task = tasks[below(static_cast<std::int32_t>(tasks.size()))];
    if (domain.live.at(task) != pending::Nothing)
        domain.confirm(task, below(5) != 0);
    else if (static_cast<std::uint64_t>(task.job) < 100'000)
        domain.end(task, below(4) != 0);
}

void step(fake_domain& domain)
{
    switch (below(10)) {
    case 0:
    case 1:
    case 2: {
        const auto spec = randomSpec(domain.now);
        const auto output = domain.apply(job_submitted { spec });
        if (const auto* const accepted = std::get_if<job_accepted>(&output.front()))
            domain.specs[accepted->job] = spec;
        break;
    }
    case 3:
        cancelSome(domain, below(8) == 0);
        break;
    case 4:
        changeWorker(domain);
        break;
    case 5:
        domain.advance(std::chrono::seconds(1 + below(1200)));
        break;
    case 6:
        domain.confirmAll();
        break;
    default:
        confirmOne(domain);
    }
}

/// Lets missing workers join, then ends all running tasks until no job is left, for at most 400 rounds.
void finishAll(fake_domain& domain)
{
    for (auto index = 0; index < racks * perRack; ++index)
        if (!domain.rackOf.contains(workerName(index)))
            domain.join(workerName(index), index / perRack, domain.history.size() + 2);
    for (auto round = 0; round < 400 && viewFleet(*domain.state).queuedJobs + viewFleet(*domain.state).activeJobs > 0;
         ++round) {
        domain.confirmAll();
        for (const auto& task : liveTasks(domain))
            if (domain.live.contains(task) && domain.live.at(task) == pending::Nothing)
                domain.end(task, true);
        domain.advance(std::chrono::minutes(10));
    }
}

/// Returns a command as text, to compare the commands of two runs.
std::string textOf(const command& item)
{
    return std::visit(
        [index = item.index()](const auto& value) {
            using type = std::decay_t<decltype(value)>;
            auto text = std::to_string(index);
            if constexpr (requires { value.worker; })
                text += " " + value.worker;
            if constexpr (requires { value.task; })
                text += " " + std::to_string(static_cast<std::uint64_t>(value.task.job)) + "/"
                    + std::to_string(value.task.attempt) + "/" + std::to_string(value.task.rank);
            if constexpr (requires { value.mode; })
                text += " " + std::to_string(static_cast<int>(value.mode));
            if constexpr (requires { value.fromCheckpoint; })
                text += value.fromCheckpoint ? " continued" : "";
            if constexpr (requires { value.job; })
                text += " " + std::to_string(static_cast<std::uint64_t>(value.job));
            if constexpr (requires { value.state; })
                text += " " + std::to_string(static_cast<int>(value.state));
            if constexpr (requires { value.reason; })
                text += " " + value.reason;
            if constexpr (std::is_same_v<type, wake_at>)
                text += " " + std::to_string(value.time.time_since_epoch().count());
            return text;
        },
        item);
}

bool areEqual(const std::vector<command>& a, const std::vector<command>& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](const command& x, const command& y) { return textOf(x) == textOf(y); });
}

} // namespace

// Guards against violations of the invariants that fake_domain checks after each event, under random load and faults,
// and against jobs that never end although the load has stopped. 100 sequences of 160 steps give at least 16,000
// events.
Test(property, randomSequencesKeepAllInvariants, .timeout = 600)
{
    std::size_t events = 0;
    const auto passed = rc::check("invariants hold", [&] {
        fake_domain domain;
        configureSite(domain);
        for (auto i = 0; i < stepsPerSequence; ++i)
            step(domain);
        finishAll(domain);
        events += domain.history.size();
        const auto view = viewFleet(*domain.state);
        RC_ASSERT(view.queuedJobs + view.activeJobs == 0);
        RC_ASSERT(view.freeAccelerators == view.accelerators);
        for (const auto& [id, ended] : domain.ended)
            RC_ASSERT(domain.stateOf(id) == ended);
    });
    cr_assert(passed);
    cr_assert_geq(events, 10'000);
}

// Guards against hidden inputs of a decision, and against state that a snapshot loses.
Test(property, replayAndSnapshotGiveTheSameCommands, .timeout = 600)
{
    const auto passed = rc::check("replays are equal", [] {
        fake_domain domain;
        configureSite(domain);
        for (auto i = 0; i < stepsPerSequence / 2; ++i)
            step(domain);
        auto replayed = makeScheduleState();
        auto restored = makeScheduleState();
        for (const auto& [input, time] : domain.history) {
            const auto expected = applyEvent(*replayed, input, time);
            RC_ASSERT(areEqual(expected, applyEvent(*restored, input, time)));
            restored = decodeState(encodeState(*restored));
        }
        RC_ASSERT(encodeState(*replayed) == encodeState(*domain.state));
    });
    cr_assert(passed);
}
