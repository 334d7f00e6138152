#include "chervilport/batch/batch_command.h"

namespace chervilport::batch {

std::string_view nameOf(run_end_kind kind)
{
    switch (kind) {
    case run_end_kind::Done:
        return "done";
    case run_end_kind::Failed:
        return "failed";
    case run_end_kind::Stopped:
        return "stopped";
    case run_end_kind::Lost:
        return "lapsed";
    case run_end_kind::GangAborted:
        return "broken";
    case run_end_kind::GangIncomplete:
        return "alone";
    case run_end_kind::NotStarted:
        return "not_started";
    }
    return "unknown";
}

} // namespace chervilport::batch
