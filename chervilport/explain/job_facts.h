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

/// What the lines say of a job, counted.
struct job_facts {
    bool hasLines = false;
    bool isSubmitted = false;
    bool isAccepted = false;
    bool isCancelled = false;
    /// Phase of the end; empty while none is told.
    std::string phase;
    /// Time from acceptance to the end in milliseconds, as text.
    std::string ageMs;
    std::string submittedAt;
    std::string firstAssignedAt;
    /// Reasons of refusals by the leader.
    std::vector<std::string> refusals;
    /// Refusals of entry instances that found no leader.
    std::size_t leaderlessCalls = 0;
    /// Calls whose outcome entry instances could not tell.
    std::size_t unknownOutcomes = 0;
    /// Runs that were assigned and have no end in the lines.
    std::set<std::string> openRuns;
    std::size_t assignedRuns = 0;
    /// Ends by kind.
    std::map<std::string, std::size_t> endsByKind;
    /// Workers on which runs failed.
    std::set<std::string> failedOn;
    /// Workers whose runs lapsed.
    std::set<std::string> lostOn;
    /// Jobs that got the room of stopped runs.
    std::set<std::string> preemptedFor;
    std::size_t preemptedRuns = 0;
    /// Lines that the rate limit of an event left out.
    std::size_t suppressedLines = 0;
};

/// Counts what the lines, in the order of their times, say of a job.
job_facts gatherFacts(std::span<const log_line* const>, std::string_view job);

/// Returns how the job ended and why, in one sentence.
std::string buildConclusion(const job_facts&);

/// Returns what the lines leave open.
std::vector<std::string> findMissingInformation(const job_facts&);

} // namespace chervilport::explain
