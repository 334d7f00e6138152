#include "chervilport/batch/job_record.h"

namespace chervilport::batch {

std::string_view nameOf(job_phase phase)
{
    switch (phase) {
    case job_phase::Active:
        return "active";
    case job_phase::Completed:
        return "completed";
    case job_phase::Failed:
        return "failed";
    case job_phase::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace chervilport::batch
