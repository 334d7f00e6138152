#pragma once

#include "chervilport/batch/job_admission.h"
#include "chervilport/batch/job_request.h"
#include "chervilport/batch/site_config.h"
#include "chervilport/batch/worker_report.h"
#include "chervilport/control/batch_controller.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chervilport {

/// Result of a mutating call.
enum class call_result : std::uint8_t {
    /// The change is committed and applied, or had been applied before.
    Applied,
    /// The change may still be committed; the caller has to retry.
    Unknown,
    /// No job has this id. A submission of the id that arrives later is recorded as cancelled.
    NoSuchJob,
};

/// Receives the result of a call; called once.
using call_result_callback = std::function<void(call_result)>;

/// Accepts a job. A job whose id exists already is left unchanged, so that resending is idempotent. Leader only, like
/// all functions here.
void submitJob(batch_controller&, batch::job_request, const batch::resolved_call&, call_result_callback);

/// Cancels a job, also one whose submission is still on its way. Ends with `NoSuchJob` when no job has this id.
void cancelJob(batch_controller&, const std::string& id, call_result_callback);

/// Returns a job. Throws chervilport_error `Gone` when no job has this id.
const batch::job_record& showJob(const batch_controller&, std::string_view id);

/// Applies a configuration if its version is higher than the current one; otherwise changes nothing. Throws
/// chervilport_error `InvalidRequest` with the first fault of the configuration.
void applyConfig(batch_controller&, batch::site_config, call_result_callback);

/// Returns the current configuration. Throws chervilport_error `Unavailable` while there is none.
const batch::site_config& showConfig(const batch_controller&);

/// Evacuates a failure domain: its workers get no new runs, while their active ones go on. A domain that is evacuated
/// already stays so.
void evacuateDomain(batch_controller&, const std::string& failureDomain, call_result_callback);

/// Ends the evacuation of a failure domain. A domain that is not evacuated is left unchanged.
void restoreDomain(batch_controller&, const std::string& failureDomain, call_result_callback);

/// Records the report of a worker. A report that is outdated, equal to the recorded one or of an unknown service
/// changes nothing; a worker of a service that is configured later is recorded with its next report.
void reportWorker(batch_controller&, batch::worker_report, call_result_callback);

/// Removes a worker that has left as planned; an unknown worker counts as removed already. The call names no
/// incarnation, so it changes nothing while the recorded one cannot have left: it then comes from an earlier one.
void removeWorker(batch_controller&, const std::string& id, call_result_callback);

} // namespace chervilport
