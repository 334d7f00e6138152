#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// Fault of a stand-in executor in the handling of a request.
enum class executor_fault : std::uint8_t {
    /// No fault.
    None,
    /// Closes the connection without running the request.
    CloseBeforeRun,
    /// Runs the request and closes the connection without a response.
    CloseAfterRun,
    /// Runs the request and closes the connection after half of the response body.
    TruncateResponse,
    /// Runs the request for ten times its service time.
    DelayResponse,
    /// Responds immediately with status 500 and does not run the request.
    FailRequest,
    /// Refuses the request as if all slots were in use.
    RefuseRequest,
};

/// Returns the fault with the given name: `none`, `die-before`, `die-after`, `cut`, `late`, `fail`, `refuse`, in the
/// order of the enumeration. Throws std::invalid_argument on another name.
executor_fault executorFaultFromName(const std::string&);

/// Options of a stand-in executor.
struct standin_executor_options {
    /// Addresses of instances as IP and port. The executor announces itself to one of them, and to the next one after a
    /// failure.
    std::vector<std::string> instances;
    /// Failure domain of the executor.
    std::string failureDomain = "local";
    /// Name of the service that the executor provides.
    std::string service = "pairing";
    /// Maximum number of requests that run at the same time; further ones are refused.
    int slots = 8;
    /// Number of connections that the executor announces.
    int connections = 60;
    /// Service time of a request without the header field `Standin-Service-Us`.
    std::chrono::microseconds serviceTime { 5'000 };
    /// Fault of requests without the header field `Standin-Fault`; it affects the share `faultShare` of them.
    executor_fault fault = executor_fault::None;
    /// Share of these requests that the fault affects, 0 to 1.
    double faultShare = 1;
    /// Seed of the random choice of these requests.
    std::uint64_t seed = 1;
    /// Interval between announcements until an instance returns another one.
    std::chrono::milliseconds announcePeriod { 1'000 };
};

} // namespace chervilport
