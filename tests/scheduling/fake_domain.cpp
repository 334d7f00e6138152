#include "tests/scheduling/fake_domain.h"

#include "chervilport/scheduling/resource_math.h"
#include "chervilport/scheduling/schedule_state.h"

#include <criterion/criterion.h>
#include <variant>

namespace chervilport::scheduling_tests {

namespace {

    placed_task placed(const std::string& worker, const task_id& task)
    {
        return { worker, task.job, task.attempt, task.rank };
    }

    task_id reported(const placed_task& task) { return { task.job, task.attempt, task.rank }; }

} // namespace

fake_domain::fake_domain()
    : state(makeScheduleState())
{
}

std::vector<command> fake_domain::apply(const event& input)
{
    history.emplace_back(input, now);
    auto output = applyEvent(*state, input, now);
    for (const auto& item : output)
        std::visit([this](const auto& alternative) { observe(alternative); }, item);
    checkStarts(output);
    checkCapacity();
    checkGuarantees();
    commands.insert(commands.end(), output.begin(), output.end());
    return output;
}

void fake_domain::advance(log_duration duration)
{
    const auto until = now + duration;
    for (auto wake = nextWakeTime(*state); wake && *wake <= until; wake = nextWakeTime(*state)) {
        cr_assert(*wake >= now, "the core asks to be woken in the past");
        now = *wake;
        apply(timer_fired {});
    }
    now = until;
}

void fake_domain::join(
    const std::string& name, std::int32_t rack, std::uint64_t incarnation, const std::vector<task_id>& tasks)
{
    std::erase_if(live, [&](const auto& entry) { return entry.first.worker == name; });
    for (const auto& task : tasks)
        live[placed(name, task)] = pending::Nothing;
    rackOf[name] = rack;
    apply(worker_joined { name, incarnation, "rack" + std::to_string(rack), rack, workerCapacity, tasks });
}

void fake_domain::joinFleet(std::int32_t racks, std::int32_t perRack)
{
    for (std::int32_t rack = 0; rack < racks; ++rack)
        for (std::int32_t i = 0; i < perRack; ++i)
            join("w" + std::to_string(rack) + "-" + std::to_string(i), rack);
}

void fake_domain::lose(const std::string& name)
{
    std::erase_if(live, [&](const auto& entry) { return entry.first.worker == name; });
    rackOf.erase(name);
    apply(worker_lost { name });
}

void fake_domain::configure(const std::vector<workspace_config>& configured, const policy_config& policy)
{
    workspaces = configured;
    apply(configuration_changed { 1, configured, policy });
}

job_id fake_domain::submit(const job_spec& spec)
{
    const auto output = apply(job_submitted { spec });
    const auto* const accepted = std::get_if<job_accepted>(&output.front());
    cr_assert(accepted, "a submission was not accepted");
    specs[accepted->job] = spec;
    // The starts of this event were observed before the specification was known.
    checkCapacity();
    return accepted->job;
}

job_refused fake_domain::submitRefused(const job_spec& spec)
{
    const auto output = apply(job_submitted { spec });
    const auto* const refused = std::get_if<job_refused>(&output.front());
    cr_assert(refused, "a submission was not refused");
    return *refused;
}

void fake_domain::confirmAll(bool checkpointed)
{
    for (auto hasConfirmed = true; hasConfirmed;) {
        hasConfirmed = false;
        for (const auto& [task, awaited] : std::map(live)) {
            const auto present = live.find(task);
            if (present == live.end() || present->second == pending::Nothing)
                continue;
            confirm(task, checkpointed);
            hasConfirmed = true;
        }
    }
}

void fake_domain::confirm(const placed_task& task, bool checkpointed)
{
    const auto awaited = std::exchange(live.at(task), pending::Nothing);
    if (awaited == pending::Start) {
        apply(task_started { task.worker, reported(task) });
        return;
    }
    live.erase(task);
    apply(task_stopped { task.worker, reported(task), checkpointed && awaited == pending::Checkpoint });
}

void fake_domain::finish(job_id job, bool succeeded)
{
    for (const auto& task : tasksOf(job)) {
        end(task, succeeded);
        if (!succeeded)
            return;
    }
}

void fake_domain::end(const placed_task& task, bool succeeded)
{
    live.erase(task);
    apply(task_ended { task.worker, reported(task), succeeded });
}

std::vector<placed_task> fake_domain::tasksOf(job_id job) const
{
    std::vector<placed_task> tasks;
    for (const auto& [task, awaited] : live)
        if (task.job == job)
            tasks.push_back(task);
    return tasks;
}

std::set<std::string> fake_domain::workersOf(job_id job) const
{
    std::set<std::string> workers;
    for (const auto& task : tasksOf(job))
        workers.insert(task.worker);
    return workers;
}

void fake_domain::observe(const start_task& start)
{
    cr_assert(rackOf.contains(start.worker), "a task is started on a lost worker");
    for (const auto& [task, awaited] : live)
        cr_assert(task.job != start.task.job || task.attempt == start.task.attempt,
            "an attempt starts while a task of another one is live");
    cr_assert(live.emplace(placed(start.worker, start.task), pending::Start).second, "a task is started twice");
}

void fake_domain::observe(const stop_task& stop)
{
    const auto task = live.find(placed(stop.worker, stop.task));
    cr_assert(task != live.end(), "a task that does not run is stopped");
    task->second = stop.mode == stop_mode::Kill ? pending::Kill : pending::Checkpoint;
}

void fake_domain::observe(const job_changed& change)
{
    cr_assert_not(ended.contains(change.job), "an ended job changes its state");
    if (change.state >= job_state::Succeeded)
        ended.emplace(change.job, change.state);
}

void fake_domain::observe(const worker_quarantine_changed& change)
{
    if (change.quarantined)
        quarantined.insert(change.worker);
    else
        quarantined.erase(change.worker);
}

void fake_domain::observe(const guarantee_shortfall_changed& change)
{
    shortfall[change.workspace] = change.missingAccelerators;
}

void fake_domain::checkStarts(const std::vector<command>& output) const
{
    // All tasks of an attempt are started by one event and lie as close together as required.
    std::map<std::pair<job_id, std::int32_t>, std::vector<std::string>> started;
    for (const auto& item : output)
        if (const auto* const start = std::get_if<start_task>(&item))
            started[{ start->task.job, start->task.attempt }].push_back(start->worker);
    for (const auto& [attempt, workers] : started) {
        const auto spec = findJob(*state, attempt.first)->spec;
        cr_assert_eq(workers.size(), static_cast<std::size_t>(spec.taskCount), "a gang starts partially");
        std::set<std::int32_t> racks;
        for (const auto& worker : workers)
            racks.insert(rackOf.at(worker));
        if (spec.placement == adjacency::Worker)
            cr_assert_eq(std::set(workers.begin(), workers.end()).size(), 1);
        if (spec.placement == adjacency::Rack)
            cr_assert_eq(racks.size(), 1);
        if (spec.placement == adjacency::AdjacentRacks)
            cr_assert_eq(*racks.rbegin() - *racks.begin() + 1, static_cast<std::int32_t>(racks.size()));
    }
}

void fake_domain::checkCapacity() const
{
    std::map<std::string, resources> used;
    for (const auto& [task, awaited] : live)
        if (const auto spec = specs.find(task.job); spec != specs.end())
            used[task.worker] = used[task.worker] + spec->second.perTask;
    for (const auto& [worker, sum] : used)
        cr_assert(fits(sum, workerCapacity), "a worker is overcommitted");
}

// Verifies the witness of the core against the tasks that actually run.
void fake_domain::checkGuarantees() const
{
    std::map<std::string, std::map<std::string, resources>> nonPreemptible;
    for (const auto& [task, awaited] : live)
        if (const auto spec = specs.find(task.job); spec != specs.end() && !spec->second.preemptible) {
            auto& sum = nonPreemptible[task.worker][spec->second.workspace];
            sum = sum + spec->second.perTask;
        }
    std::map<std::string, std::map<std::string, resources>> guaranteed;
    std::map<std::string, std::int32_t> placedAccelerators;
    for (const auto& instance : state->witness) {
        const auto& workspace = workspaces[instance.workspace].name;
        std::set<std::int32_t> racks;
        for (const auto index : instance.workers) {
            const auto& worker = state->workers[index].name;
            cr_assert(rackOf.contains(worker), "a guarantee is held by a lost worker");
            auto& sum = guaranteed[worker][workspace];
            sum = sum + instance.gang.perTask;
            placedAccelerators[workspace] += instance.gang.perTask.accelerators;
            racks.insert(rackOf.at(worker));
        }
        if (instance.gang.placement >= adjacency::Rack && !instance.workers.empty())
            cr_assert_eq(racks.size(), 1);
    }
    for (const auto& [worker, parts] : guaranteed) {
        resources sum;
        for (const auto& workspace : workspaces) {
            const auto own = parts.find(workspace.name);
            const auto part = own == parts.end() ? resources {} : own->second;
            sum = sum + maxOf(part, nonPreemptible[worker][workspace.name]);
        }
        cr_assert(fits(sum, workerCapacity), "a guaranteed place is held by a job that cannot be preempted");
    }
    for (const auto& workspace : workspaces) {
        const auto missing = shortfall.find(workspace.name);
        cr_assert_eq(placedAccelerators[workspace.name] + (missing == shortfall.end() ? 0 : missing->second),
            guaranteedAccelerators(workspace), "a guarantee is neither held nor reported as short");
    }
}

job_spec gangOf(std::int32_t tasks, adjacency placement, const std::string& workspace)
{
    job_spec spec;
    spec.workspace = workspace;
    spec.kind = "work";
    spec.taskCount = tasks;
    spec.perTask = { 1, 4'000, 16'384 };
    spec.placement = placement;
    spec.declaredRunTime = std::chrono::hours(1);
    return spec;
}

} // namespace chervilport::scheduling_tests
