#include "chervilport/control/session_log.h"

#include "chervilport/logging/event_log.h"

namespace chervilport {

void logWorkerReached(std::string_view worker, std::uint64_t term, const poll_response& response)
{
    logEvent("worker_reached",
        { { "worker", worker }, { "term", term }, { "running", response.running.size() },
            { "ended", response.ended.size() } });
}

void logWorkerRestarted(
    std::string_view worker, std::int64_t before, std::int64_t now, std::size_t runs, std::uint64_t acknowledged)
{
    logEvent("worker_restarted",
        { { "worker", worker }, { "born", now }, { "before", before }, { "runs", runs },
            { "acknowledged", acknowledged } },
        log_level::Warning);
}

void logEndsAcknowledged(
    std::string_view worker, std::uint64_t upTo, std::int64_t incarnation, std::int64_t recordedIncarnation)
{
    logEvent("ends_acknowledged",
        { { "worker", worker }, { "up_to", upTo }, { "born", incarnation }, { "recorded", recordedIncarnation } });
}

std::string_view partialReasonOf(const poll_response& response)
{
    return response.hasUnreadableRows ? "unreadable_rows" : "more_ends";
}

void logPartialList(
    std::string_view worker, const poll_response& response, std::size_t unlistedRuns, const end_acknowledgement& ends)
{
    logEvent("worker_list_partial",
        { { "worker", worker }, { "reason", partialReasonOf(response) }, { "running", response.running.size() },
            { "ended", response.ended.size() }, { "unlisted", unlistedRuns }, { "listed", ends.listed },
            { "acknowledged", ends.confirmed } },
        log_level::Warning);
}

void logLastList(std::string_view worker, const poll_response& response)
{
    logEvent("worker_last_list",
        { { "worker", worker }, { "reply", nameOf(response.result.reply) }, { "running", response.running.size() },
            { "ended", response.ended.size() }, { "detail", response.result.detail } });
}

void logUnmatchedEnd(const reported_end& end, std::string_view worker)
{
    logEvent("run_end_unmatched",
        { { "run", describe(end.run) }, { "worker", worker }, { "how", batch::nameOf(end.kind) },
            { "number", end.number } },
        log_level::Warning);
}

void logOutdatedMismatch(std::string_view worker, std::int64_t requested, std::int64_t recorded)
{
    logEvent("worker_mismatch_outdated", { { "worker", worker }, { "requested", requested }, { "recorded", recorded } },
        log_level::Warning);
}

void logWorkerUnreachable(std::string_view worker, const worker_result& result, std::size_t runs)
{
    logEvent("worker_unreachable",
        { { "worker", worker }, { "reply", nameOf(result.reply) }, { "detail", result.detail }, { "runs", runs } },
        log_level::Warning);
}

void logStartWithheld(const batch::run_ref& run, const batch::worker_record& worker, batch::start_obstacle obstacle)
{
    logEvent("run_start_withheld",
        { { "run", describe(run) }, { "worker", worker.report.id }, { "domain", worker.report.failureDomain },
            { "reason", batch::nameOf(obstacle) } });
}

void logRunRequest(std::string_view event, const batch::run_ref& run, std::string_view worker,
    const worker_result& result, int attempt)
{
    logEvent(event,
        { { "run", describe(run) }, { "worker", worker }, { "reply", nameOf(result.reply) }, { "attempt", attempt },
            { "detail", result.detail } });
}

void logUnexpectedRun(std::string_view event, const batch::run_ref& run, std::string_view worker)
{
    logEvent(event, { { "run", describe(run) }, { "worker", worker } }, log_level::Warning);
}

void logRunEnded(const run_tracker& tracker, std::string_view worker, batch::run_end_kind kind)
{
    const auto cause = kind == batch::run_end_kind::Done ? std::string_view {} : nameOf(causeOf(tracker, kind));
    logEvent("run_ended",
        { { "run", describe(tracker.run) }, { "worker", worker }, { "how", batch::nameOf(kind) }, { "cause", cause },
            { "saved", tracker.checkpoint } });
}

void logUncommittedEnd(
    const batch::run_ref& run, std::string_view worker, batch::run_end_kind kind, proposal_result result)
{
    logEvent("run_end_uncommitted",
        { { "run", describe(run) }, { "worker", worker }, { "how", batch::nameOf(kind) },
            { "outcome", result == proposal_result::Unknown ? "unknown" : "not_committed" } },
        log_level::Warning);
}

} // namespace chervilport
