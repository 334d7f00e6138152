#include "chervilport/scheduling/attempts.h"
#include "chervilport/scheduling/event_handlers.h"
#include "chervilport/scheduling/feasibility.h"
#include "chervilport/scheduling/schedule_state.h"
#include "chervilport/scheduling/witness.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace chervilport {

namespace {

    /// Jobs that may be queued or active at once; bounds the state.
    constexpr std::size_t maxOpenJobs = 8192;

    /// Longest names and keys, in bytes; bounds the state.
    constexpr std::size_t maxNameBytes = 256;

    const job_spec* specOf(const schedule_state& state, job_id id)
    {
        if (const auto job = state.jobs.find(id); job != state.jobs.end())
            return &job->second.spec;
        const auto ended = state.ended.find(id);
        return ended == state.ended.end() ? nullptr : &ended->second.spec;
    }

    /// Answers a submission whose client key belongs to a recorded job.
    command answerKnownKey(const schedule_state& state, const job_spec& spec, job_id id)
    {
        const auto* known = specOf(state, id);
        if (known && *known != spec)
            return job_refused { spec.workspace, spec.clientKey, error_kind::KeyReused,
                "the key belongs to a job with another specification" };
        return job_accepted { id, spec.workspace, spec.clientKey, true };
    }

    std::optional<refusal> checkSubmission(const schedule_state& state, const job_spec& spec)
    {
        if (auto invalid = checkSpec(state, spec))
            return invalid;
        if (spec.clientKey.size() > maxNameBytes || spec.kind.size() > maxNameBytes || spec.team.size() > maxNameBytes)
            return refusal { error_kind::InvalidRequest, "a name or key is longer than 256 bytes" };
        if (spec.deadline && *spec.deadline <= state.now)
            return refusal { error_kind::DeadlineExceeded, "the deadline has passed" };
        if (state.jobs.size() >= maxOpenJobs)
            return refusal { error_kind::Overloaded,
                std::to_string(state.jobs.size()) + " jobs are already queued or active" };
        return feasibility_checker(state).check(spec);
    }

} // namespace

bool handleEvent(schedule_state& state, const job_submitted& submitted, std::vector<command>& out)
{
    const auto& spec = submitted.spec;
    const workspace_key key { spec.workspace, spec.clientKey };
    if (const auto known = state.clientKeys.find(key); !spec.clientKey.empty() && known != state.clientKeys.end()) {
        out.push_back(answerKnownKey(state, spec, known->second));
        return false;
    }
    if (auto refused = checkSubmission(state, spec)) {
        out.emplace_back(job_refused { spec.workspace, spec.clientKey, refused->kind, std::move(refused->reason) });
        return false;
    }
    const auto id = static_cast<job_id>(state.nextJob++);
    job_record job;
    job.id = id;
    job.spec = spec;
    job.submittedAt = state.now;
    job.queuedAt = state.now;
    state.jobs.emplace(id, std::move(job));
    if (!spec.clientKey.empty())
        state.clientKeys.emplace(key, id);
    out.emplace_back(job_accepted { id, spec.workspace, spec.clientKey, false });
    return true;
}

bool handleEvent(schedule_state& state, const job_cancelled& cancelled, std::vector<command>& out)
{
    auto* job = findActive(state, cancelled.job);
    if (!job)
        return false;
    if (job->state == job_state::Queued) {
        endJob(state, cancelled.job, job_state::Cancelled, "cancelled by the caller", out);
        return true;
    }
    stopAttempt(state, *job, stop_mode::Kill, job_state::Cancelled, "cancelled by the caller", out);
    return false;
}

bool handleEvent(schedule_state& state, const configuration_changed& changed, std::vector<command>& out)
{
    // A document older than the current one has no effect.
    if (changed.version < state.configuration.version)
        return false;
    const auto previous = std::exchange(state.configuration, changed);
    state.workspaceByName.clear();
    rebuildDerived(state);
    rebuildWitnessInstances(state, previous.workspaces);
    repairWitness(state);
    endInfeasibleJobs(state, out);
    return true;
}

bool handleEvent(schedule_state&, const timer_fired&, std::vector<command>&) { return false; }

void endInfeasibleJobs(schedule_state& state, std::vector<command>& out)
{
    std::vector<std::pair<job_id, std::string>> infeasible;
    feasibility_checker checker(state);
    for (const auto& [id, job] : state.jobs)
        if (job.state == job_state::Queued)
            if (auto refused = checker.check(job.spec))
                infeasible.emplace_back(id, std::move(refused->reason));
    for (const auto& [id, reason] : infeasible)
        endJob(state, id, job_state::Infeasible, reason, out);
}

} // namespace chervilport
