#pragma once

#include "chervilport/explain/log_line.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport::explain {

/// Facts about a job that its log lines contain.
struct job_facts {
    /// Whether any line names the job.
    bool hasLines = false;
    /// Whether the leader received the submission.
    bool isSubmitted = false;
    /// Whether the submission was committed.
    bool isAccepted = false;
    /// Whether the job was cancelled.
    bool isCancelled = false;
    /// Final phase; empty when no line has it.
    std::string phase;
    /// Time from acceptance to the end in milliseconds, as text.
    std::string ageMs;
    /// Time of the submission; empty when no line has it.
    std::string submittedAt;
    /// Time of the first assignment of a run; empty when there is none.
    std::string firstAssignedAt;
    /// Reasons for which the leader refused the submission.
    std::vector<std::string> refusals;
    /// Submissions that an entry instance refused because it found no leader.
    std::size_t leaderlessCalls = 0;
    /// Submissions that an entry instance answered with an unknown outcome.
    std::size_t unknownOutcomes = 0;
    /// Assigned runs without a logged end.
    std::set<std::string> openRuns;
    /// Number of assigned runs.
    std::size_t assignedRuns = 0;
    /// Number of ended runs by the kind of the end.
    std::map<std::string, std::size_t> endsByKind;
    /// Workers on which runs failed.
    std::set<std::string> failedOn;
    /// Workers whose runs were lost.
    std::set<std::string> lostOn;
    /// Number of runs under which a worker crashed.
    std::size_t crashes = 0;
    /// Jobs for which runs were preempted.
    std::set<std::string> preemptedFor;
    /// Number of preempted runs.
    std::size_t preemptedRuns = 0;
    /// Number of steps that came first when the job's wait was logged last; empty when no line has it.
    std::string stepsAhead;
    /// First job behind which it waited then; empty for none.
    std::string waitedBehind;
    /// Age of the job at that time in milliseconds, as text.
    std::string waitedMs;
    /// Number of lines that the rate limit of an event suppressed.
    std::size_t suppressedLines = 0;
};

/// Collects the facts about a job from lines that are sorted by time.
job_facts gatherFacts(std::span<const log_line* const>, std::string_view job);

/// Returns one sentence on how the job ended and why, as far as the facts show it.
std::string buildConclusion(const job_facts&);

/// Returns the information that the logs do not contain, one phrase each.
std::vector<std::string> findMissingInformation(const job_facts&);

} // namespace chervilport::explain
