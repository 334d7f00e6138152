#include "chervilport/core/error_kind.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>

namespace chervilport {

namespace {

    constexpr auto errorTable = std::to_array<error_properties>({
        { error_kind::InvalidRequest, "invalid_request", 400, 2, run_outcome::NotRun, false },
        { error_kind::Unauthenticated, "unauthenticated", 401, 3, run_outcome::NotRun, false },
        { error_kind::Forbidden, "forbidden", 403, 3, run_outcome::NotRun, false },
        { error_kind::NotFound, "not_found", 404, 4, run_outcome::NotRun, false },
        { error_kind::Gone, "gone", 410, 4, run_outcome::NotRun, false },
        { error_kind::VersionConflict, "version_conflict", 409, 5, run_outcome::NotRun, false },
        { error_kind::KeyReused, "key_reused", 422, 5, run_outcome::NotRun, false },
        { error_kind::TooLarge, "too_large", 413, 2, run_outcome::NotRun, false },
        { error_kind::Infeasible, "infeasible", 422, 6, run_outcome::NotRun, false },
        { error_kind::QuotaExceeded, "quota_exceeded", 429, 6, run_outcome::NotRun, false },
        { error_kind::Overloaded, "overloaded", 503, 7, run_outcome::NotRun, true },
        { error_kind::DeadlineExceeded, "deadline_exceeded", 504, 8, run_outcome::NotRun, false },
        { error_kind::NoUpstream, "no_upstream", 503, 7, run_outcome::NotRun, true },
        { error_kind::NotLeader, "not_leader", 503, 7, run_outcome::NotRun, true },
        { error_kind::Unavailable, "unavailable", 503, 7, run_outcome::NotRun, true },
        { error_kind::Draining, "draining", 503, 7, run_outcome::NotRun, true },
        { error_kind::StillRunning, "still_running", 409, 9, run_outcome::Unknown, true },
        { error_kind::OutcomeUnknown, "outcome_unknown", 502, 9, run_outcome::Unknown, false },
        { error_kind::UpstreamFailed, "upstream_failed", 502, 10, run_outcome::Unknown, false },
        { error_kind::StorageFailure, "storage_failure", 503, 11, run_outcome::NotRun, true },
        { error_kind::Internal, "internal", 500, 1, run_outcome::Unknown, false },
    });

} // namespace

const error_properties& errorPropertiesOf(error_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < errorTable.size());
    assert(errorTable[index].kind == kind);
    return errorTable[index];
}

std::span<const error_properties> allErrorProperties() { return errorTable; }

std::optional<error_kind> errorKindFromName(std::string_view name)
{
    const auto* const row = std::find_if(errorTable.begin(), errorTable.end(),
        [&](const error_properties& properties) { return properties.name == name; });
    if (row == errorTable.end())
        return std::nullopt;
    return row->kind;
}

} // namespace chervilport
