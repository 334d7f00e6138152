#pragma once

#include "chervilport/scheduling/decision_core.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilport {

/// A submission as the caller sent it.
struct job_submission {
    /// What is to run; `deadline` is not set yet.
    job_spec spec;
    /// Failure domain that is to run it; empty for the domain of the instance that got the call.
    std::string failureDomain;
    /// Time from the submission after which the result is no longer useful.
    std::optional<log_duration> deadlineIn;
};

/// The id of a job as callers see it: home domain and number.
struct public_job_id {
    /// Home domain.
    std::string failureDomain;
    /// Number within the domain.
    job_id number {};
};

/// Reads a submission. Throws chervilport_error of kind InvalidRequest that names the member at fault.
job_submission parseJobSubmission(std::string_view body);

/// Returns the id as callers see it, for example `seattle-17`.
std::string formatJobId(std::string_view failureDomain, job_id);

/// Reads an id. Throws chervilport_error of kind NotFound if it cannot be the id of a job.
public_job_id parseJobId(std::string_view text);

/// Returns the name of a state, for example `queued`.
std::string_view toString(job_state);

/// Returns the name of a class, for example `urgent`.
std::string_view className(job_class);

/// Returns a job for callers; log times are given as milliseconds since 1970-01-01 UTC.
nlohmann::json jobToJson(std::string_view failureDomain, const job_view&);

} // namespace chervilport
