#include "chervilport/control/worker_client.h"

namespace chervilport {

std::string_view nameOf(worker_reply reply)
{
    switch (reply) {
    case worker_reply::Done:
        return "done";
    case worker_reply::Fenced:
        return "fenced";
    case worker_reply::OutdatedRun:
        return "outdated_run";
    case worker_reply::LeaseExpired:
        return "too_late";
    case worker_reply::InsufficientCapacity:
        return "no_room";
    case worker_reply::Refused:
        return "refused";
    case worker_reply::Unhealthy:
        return "unhealthy";
    case worker_reply::IncarnationMismatch:
        return "other_life";
    case worker_reply::NotSent:
        return "not_sent";
    case worker_reply::NoResponse:
        return "no_answer";
    }
    return "unknown";
}

bool isComplete(const poll_response& response) { return !response.hasMoreEnds && !response.hasUnreadableRows; }

std::set<batch::run_ref> runsIn(const poll_response& response)
{
    std::set<batch::run_ref> runs;
    for (const auto& reported : response.running)
        runs.insert(reported.run);
    for (const auto& reported : response.ended)
        runs.insert(reported.run);
    return runs;
}

} // namespace chervilport
