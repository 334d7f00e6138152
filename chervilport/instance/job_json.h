#pragma once

#include "chervilport/scheduling/decision_core.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilport {

/// A job submission as the caller sent it.
struct job_submission {
    /// The job; `deadline` is not set yet.
    job_spec spec;
    /// Failure domain to run it in; empty for the domain of the instance that received the call.
    std::string failureDomain;
    /// Time from the submission after which the result is no longer useful.
    std::optional<log_duration> deadlineIn;
};

/// Id of a job as callers see it: failure domain and number.
struct public_job_id {
    /// Failure domain that runs the job.
    std::string failureDomain;
    /// Number within the domain.
    job_id number {};
};

/// Parses a submission. Throws chervilport_error of kind InvalidRequest that names the invalid member.
job_submission parseJobSubmission(std::string_view body);

/// Returns the id as callers see it, for example `seattle-17`.
std::string formatJobId(std::string_view failureDomain, job_id);

/// Parses an id. Throws chervilport_error of kind NotFound if the text is not a valid job id.
public_job_id parseJobId(std::string_view text);

/// Returns the name of a state, for example `queued`.
std::string_view toString(job_state);

/// Returns the name of a class, for example `urgent`.
std::string_view className(job_class);

/// Returns a job as JSON for callers; log times are in milliseconds since 1970-01-01 UTC.
nlohmann::json jobToJson(std::string_view failureDomain, const job_view&);

} // namespace chervilport
