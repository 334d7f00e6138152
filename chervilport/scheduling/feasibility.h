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

/// Checks the form of a submission: gang size, demand, run time, workspace.
std::optional<refusal> checkSpec(const schedule_state&, const job_spec&);

/// Checks jobs against the fleet and the configuration of one moment.
class feasibility_checker {
public:
    /// Takes a copy of the fleet in which nothing runs and workers that may return are back in service.
    explicit feasibility_checker(const schedule_state&);
    ~feasibility_checker();
    feasibility_checker(const feasibility_checker&) = delete;
    feasibility_checker& operator=(const feasibility_checker&) = delete;

    /// Checks whether the job could run if nothing else did: quotas, the fleet, and the guarantees of others for a job
    /// that cannot be preempted. Without any known worker the fleet is not judged.
    std::optional<refusal> check(const job_spec&);

private:
    std::optional<refusal> checkFleet(const job_spec&, std::size_t workspace);

    std::unique_ptr<schedule_state> m_emptyFleet;
    bool m_isWitnessBuilt = false;
    std::vector<std::pair<job_spec, std::optional<refusal>>> m_results;
};

} // namespace chervilport
