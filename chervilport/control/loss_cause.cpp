#include "chervilport/control/loss_cause.h"

namespace chervilport {

std::string_view nameOf(loss_cause cause)
{
    switch (cause) {
    case loss_cause::TaskFailed:
        return "task_failed";
    case loss_cause::GangMemberEnded:
        return "gang_member_ended";
    case loss_cause::GangIncomplete:
        return "gang_incomplete";
    case loss_cause::WorkerEnded:
        return "worker_ended";
    case loss_cause::LeaseExpired:
        return "lease_expired";
    case loss_cause::Preempted:
        return "preempted";
    case loss_cause::Cancelled:
        return "cancelled";
    case loss_cause::NotStarted:
        return "not_started";
    case loss_cause::Stopped:
        return "stopped";
    }
    return "unknown";
}

loss_cause causeOf(batch::run_end_kind kind)
{
    switch (kind) {
    case batch::run_end_kind::Failed:
        return loss_cause::TaskFailed;
    case batch::run_end_kind::Lost:
        return loss_cause::WorkerEnded;
    case batch::run_end_kind::GangAborted:
        return loss_cause::GangMemberEnded;
    case batch::run_end_kind::GangIncomplete:
        return loss_cause::GangIncomplete;
    case batch::run_end_kind::NotStarted:
        return loss_cause::NotStarted;
    case batch::run_end_kind::Stopped:
    case batch::run_end_kind::Done:
        return loss_cause::Stopped;
    }
    return loss_cause::Stopped;
}

} // namespace chervilport
