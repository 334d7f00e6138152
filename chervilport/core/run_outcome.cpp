#include "chervilport/core/run_outcome.h"

namespace chervilport {

std::string_view toString(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::NotRun:
        return "not_run";
    case run_outcome::Run:
        return "run";
    case run_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace chervilport
