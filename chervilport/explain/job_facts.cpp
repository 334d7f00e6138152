#include "chervilport/explain/job_facts.h"

#include <charconv>

namespace chervilport::explain {

namespace {

    std::size_t parseCount(std::string_view text)
    {
        std::size_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    std::string join(const std::set<std::string>& words)
    {
        std::string text;
        for (const auto& word : words)
            text += text.empty() ? word : ", " + word;
        return text;
    }

    void addRunLine(job_facts& facts, const log_line& line)
    {
        const std::string run(valueOf(line, "run"));
        const std::string worker(valueOf(line, "worker"));
        if (line.event == "run_assigned") {
            if (facts.firstAssignedAt.empty())
                facts.firstAssignedAt = line.time;
            ++facts.assignedRuns;
            facts.openRuns.insert(run);
            return;
        }
        if (line.event == "run_preempted") {
            ++facts.preemptedRuns;
            facts.preemptedFor.emplace(valueOf(line, "for"));
            return;
        }
        if (line.event == "crash_counted")
            ++facts.crashes;
        if (line.event != "run_ended")
            return;
        const std::string kind(valueOf(line, "how"));
        ++facts.endsByKind[kind];
        facts.openRuns.erase(run);
        if (kind == "failed")
            facts.failedOn.insert(worker);
        if (kind == "lapsed")
            facts.lostOn.insert(worker);
    }

    void addCallLine(job_facts& facts, const log_line& line)
    {
        const bool isSubmission = valueOf(line, "request").starts_with("POST") || valueOf(line, "method") == "POST";
        if (line.event == "relay_gave_up" && isSubmission)
            ++(valueOf(line, "maybe_run") == "true" ? facts.unknownOutcomes : facts.leaderlessCalls);
        else if (line.event == "call_refused" && isSubmission)
            facts.refusals.emplace_back(valueOf(line, "reason"));
    }

    void addJobLine(job_facts& facts, const log_line& line)
    {
        if (line.event == "job_submitted") {
            facts.isSubmitted = true;
            facts.submittedAt = line.time;
        } else if (line.event == "job_accepted")
            facts.isAccepted = facts.isAccepted || valueOf(line, "outcome") == "committed";
        else if (line.event == "job_cancelled")
            facts.isCancelled = true;
        else if (line.event == "job_waits") {
            facts.stepsAhead = valueOf(line, "ahead");
            facts.waitedBehind = valueOf(line, "behind");
            facts.waitedMs = valueOf(line, "age_ms");
        } else if (line.event == "job_ended") {
            facts.phase = valueOf(line, "phase");
            facts.ageMs = valueOf(line, "age_ms");
        }
    }

    /// Returns what the job waited for as the end of a sentence; empty when no line tells of a wait.
    std::string describeWait(const job_facts& facts)
    {
        if (facts.waitedMs.empty())
            return {};
        auto text = "; at " + facts.waitedMs + " ms it waited for room";
        if (!facts.waitedBehind.empty())
            text += " behind " + facts.stepsAhead + " steps, first of " + facts.waitedBehind;
        return text;
    }

    /// Returns the causes of delays as the end of a sentence; empty when there are none.
    std::string describeDelays(const job_facts& facts)
    {
        auto text = describeWait(facts);
        if (facts.preemptedRuns > 0)
            text += "; " + std::to_string(facts.preemptedRuns) + " runs were preempted for " + join(facts.preemptedFor);
        if (!facts.lostOn.empty())
            text += "; runs were lost with " + join(facts.lostOn);
        if (!facts.failedOn.empty())
            text += "; runs failed on " + join(facts.failedOn);
        if (facts.crashes > 0)
            text += "; workers crashed under " + std::to_string(facts.crashes) + " runs";
        return text;
    }

} // namespace

job_facts gatherFacts(std::span<const log_line* const> lines, std::string_view job)
{
    job_facts facts;
    for (const auto* const line : lines) {
        facts.suppressedLines += parseCount(valueOf(*line, "suppressed"));
        const bool isOfRun = valueOf(*line, "run").starts_with(job);
        facts.hasLines = true;
        if (isOfRun)
            addRunLine(facts, *line);
        else if (valueOf(*line, "job") == job)
            addJobLine(facts, *line);
        else
            addCallLine(facts, *line);
    }
    return facts;
}

std::string buildConclusion(const job_facts& facts)
{
    if (!facts.hasLines)
        return "no line names the job";
    if (!facts.phase.empty())
        return facts.phase + " after " + facts.ageMs + " ms" + describeDelays(facts);
    if (facts.isCancelled)
        return "cancelled" + describeDelays(facts);
    if (facts.isAccepted && facts.firstAssignedAt.empty())
        return "accepted at " + facts.submittedAt + "; no run was assigned: it waits for capacity"
            + describeWait(facts);
    if (facts.isAccepted)
        return "accepted and not ended; " + std::to_string(facts.openRuns.size()) + " runs without a logged end"
            + describeDelays(facts);
    if (!facts.refusals.empty())
        return "not run: the leader refused it: " + facts.refusals.back();
    if (facts.unknownOutcomes > 0)
        return "outcome unknown to its client: forwarded, but no response came from a leader";
    if (facts.leaderlessCalls > 0)
        return "not run: its entry instance found no leader";
    return "the lines contain neither an acceptance nor a refusal";
}

std::vector<std::string> findMissingInformation(const job_facts& facts)
{
    std::vector<std::string> missing;
    if (!facts.hasLines)
        return missing;
    const bool isKnown = facts.isAccepted || facts.assignedRuns > 0 || !facts.phase.empty();
    if (isKnown && !facts.isSubmitted)
        missing.emplace_back("the submission: the log of the leader at that time is not among the input");
    if (facts.isSubmitted && !facts.isAccepted)
        missing.emplace_back("whether the submission was committed");
    if (isKnown && facts.phase.empty() && !facts.isCancelled)
        missing.emplace_back("the end of the job");
    if (!facts.openRuns.empty() && !facts.phase.empty())
        missing.emplace_back("the end of " + std::to_string(facts.openRuns.size()) + " runs");
    if (facts.suppressedLines > 0)
        missing.emplace_back(std::to_string(facts.suppressedLines) + " lines suppressed by the rate limit of the log");
    return missing;
}

} // namespace chervilport::explain
