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

/// How a call that changes something ended.
enum class call_result : std::uint8_t {
    /// It is in force, or was before.
    Applied,
    /// It may still come into force; the caller has to ask again.
    Unknown,
};

/// Takes the end of a call, once.
using call_result_callback = std::function<void(call_result)>;

/// Accepts a job; one that is known under its id stays as it is. Leader only, like all functions here.
void submitJob(batch_controller&, batch::job_request, const batch::resolved_call&, call_result_callback);

/// Cancels a job. Throws chervilport_error `Gone` when there is none with this id.
void cancelJob(batch_controller&, const std::string& id, call_result_callback);

/// Returns a job. Throws chervilport_error `Gone` when there is none with this id.
const batch::job_record& showJob(const batch_controller&, std::string_view id);

/// Puts a configuration in force if its version is higher than the one held; an older one changes nothing. Throws
/// chervilport_error `InvalidRequest` with the first fault.
void applyConfig(batch_controller&, batch::site_config, call_result_callback);

/// Returns the configuration in force. Throws chervilport_error `Unavailable` while there is none.
const batch::site_config& showConfig(const batch_controller&);

/// Notes what a worker says of itself; a report that is out of date or tells nothing new changes nothing.
void reportWorker(batch_controller&, batch::worker_report, call_result_callback);

/// Notes that a worker has left; one that is not known has left before.
void removeWorker(batch_controller&, const std::string& id, call_result_callback);

} // namespace chervilport
