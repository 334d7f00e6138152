#pragma once

#include "chervilport/core/error_kind.h"
#include "chervilport/scheduling/job_spec.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chervilport {

struct schedule_state;

/// Why a job cannot be accepted or can never run.
struct refusal {
    /// Kind of the refusal.
    error_kind kind = error_kind::Infeasible;
    /// Reason shown to the caller.
    std::string reason;
};

/// Validates a submission: gang size, demand, run time and workspace. Returns nothing if it is valid.
std::optional<refusal> checkSpec(const schedule_state&, const job_spec&);

/// Checks jobs against a snapshot of the fleet and the configuration.
class feasibility_checker {
public:
    /// Copies the fleet without its tasks. Lost and quarantined workers count as in service, because they may return.
    explicit feasibility_checker(const schedule_state&);
    ~feasibility_checker();
    feasibility_checker(const feasibility_checker&) = delete;
    feasibility_checker& operator=(const feasibility_checker&) = delete;

    /// Checks whether the job could run on an idle fleet, within the quotas and, for a non-preemptible job, beside the
    /// guarantees of other workspaces. Returns nothing if it could. If no worker is known, only the quotas are checked.
    std::optional<refusal> check(const job_spec&);

private:
    std::optional<refusal> checkFleet(const job_spec&, std::size_t workspace);

    std::unique_ptr<schedule_state> m_emptyFleet;
    bool m_isWitnessBuilt = false;
    std::vector<std::pair<job_spec, std::optional<refusal>>> m_results;
};

} // namespace chervilport
