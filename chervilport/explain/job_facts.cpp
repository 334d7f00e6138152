#include "chervilport/explain/job_facts.h"

#include <charconv>

namespace chervilport::explain {

namespace {

    std::size_t countOf(std::string_view text)
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

    void noteRun(job_facts& facts, const log_line& line)
    {
        const std::string run(valueOf(line, "run"));
        const std::string worker(valueOf(line, "worker"));
        if (line.event == "run_assigned") {
            if (facts.firstAssignedAt.empty())
                facts.firstAssignedAt = line.time;
            ++facts.assigned;
            facts.openRuns.insert(run);
            return;
        }
        if (line.event == "run_preempted") {
            ++facts.preempted;
            facts.preemptedFor.emplace(valueOf(line, "for"));
            return;
        }
        if (line.event != "run_ended")
            return;
        const std::string how(valueOf(line, "how"));
        ++facts.ends[how];
        facts.openRuns.erase(run);
        if (how == "failed")
            facts.failedOn.insert(worker);
        if (how == "lapsed")
            facts.lapsedOn.insert(worker);
    }

    void noteCall(job_facts& facts, const log_line& line)
    {
        const bool isSubmission = valueOf(line, "request").starts_with("POST") || valueOf(line, "method") == "POST";
        if (line.event == "relay_gave_up" && isSubmission)
            ++(valueOf(line, "maybe_run") == "true" ? facts.unclear : facts.leaderless);
        else if (line.event == "call_refused" && isSubmission)
            facts.refusals.emplace_back(valueOf(line, "reason"));
    }

    void noteJob(job_facts& facts, const log_line& line)
    {
        if (line.event == "job_submitted") {
            facts.submitted = true;
            facts.submittedAt = line.time;
        } else if (line.event == "job_accepted")
            facts.accepted = facts.accepted || valueOf(line, "outcome") == "committed";
        else if (line.event == "job_cancelled")
            facts.cancelled = true;
        else if (line.event == "job_ended") {
            facts.phase = valueOf(line, "phase");
            facts.ageMs = valueOf(line, "age_ms");
        }
    }

    /// What delayed the job, as the rest of a sentence; empty for nothing.
    std::string delays(const job_facts& facts)
    {
        std::string text;
        if (facts.preempted > 0)
            text += "; " + std::to_string(facts.preempted) + " runs were stopped for " + join(facts.preemptedFor);
        if (!facts.lapsedOn.empty())
            text += "; runs were lost with " + join(facts.lapsedOn);
        if (!facts.failedOn.empty())
            text += "; runs failed on " + join(facts.failedOn);
        return text;
    }

} // namespace

job_facts gatherFacts(std::span<const log_line* const> lines, std::string_view job)
{
    job_facts facts;
    for (const auto* const line : lines) {
        facts.suppressed += countOf(valueOf(*line, "suppressed"));
        const bool ofRun = valueOf(*line, "run").starts_with(job);
        facts.hasLines = true;
        if (ofRun)
            noteRun(facts, *line);
        else if (valueOf(*line, "job") == job)
            noteJob(facts, *line);
        else
            noteCall(facts, *line);
    }
    return facts;
}

std::string conclude(const job_facts& facts)
{
    if (!facts.hasLines)
        return "no line names the job";
    if (!facts.phase.empty())
        return facts.phase + " after " + facts.ageMs + " ms" + delays(facts);
    if (facts.cancelled)
        return "cancelled" + delays(facts);
    if (facts.accepted && facts.firstAssignedAt.empty())
        return "accepted at " + facts.submittedAt + "; no run was assigned: it waits for room";
    if (facts.accepted)
        return "accepted and not ended; " + std::to_string(facts.openRuns.size()) + " runs without an end"
            + delays(facts);
    if (!facts.refusals.empty())
        return "not run: the leader refused it: " + facts.refusals.back();
    if (facts.unclear > 0)
        return "outcome unknown to its caller: passed on, and no answer came from a leader";
    if (facts.leaderless > 0)
        return "not run: its entry instance knew no leader";
    return "the lines tell neither an acceptance nor a refusal";
}

std::vector<std::string> findGaps(const job_facts& facts)
{
    std::vector<std::string> gaps;
    if (!facts.hasLines)
        return gaps;
    const bool known = facts.accepted || facts.assigned > 0 || !facts.phase.empty();
    if (known && !facts.submitted)
        gaps.emplace_back("the submission: the log of the leader at that time is not here");
    if (facts.submitted && !facts.accepted)
        gaps.emplace_back("whether the submission was committed");
    if (known && facts.phase.empty() && !facts.cancelled)
        gaps.emplace_back("the end of the job");
    if (!facts.openRuns.empty() && !facts.phase.empty())
        gaps.emplace_back("the end of " + std::to_string(facts.openRuns.size()) + " runs");
    if (facts.suppressed > 0)
        gaps.emplace_back(std::to_string(facts.suppressed) + " lines that the rate limit of the log left out");
    return gaps;
}

} // namespace chervilport::explain
