#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilport {

/// What a stand-in executor does wrong with a request.
enum class executor_fault : std::uint8_t {
    /// Nothing.
    None,
    /// Closes the connection without running the request.
    CloseBeforeRun,
    /// Runs the request and closes the connection without an answer.
    CloseAfterRun,
    /// Runs the request and closes the connection within the answer.
    TruncateResponse,
    /// Runs the request and answers ten times later than it should.
    DelayResponse,
    /// Answers at once with status 500, without running the request.
    FailRequest,
    /// Refuses as if all slots were taken.
    RefuseRequest,
};

/// Returns the fault of that name (`none`, `die-before`, `die-after`, `cut`, `late`, `fail`, `refuse`). Throws
/// std::invalid_argument.
executor_fault executorFaultFromName(const std::string&);

/// How a stand-in executor presents itself.
struct standin_executor_options {
    /// Addresses of instances; the executor announces itself to one of them and goes to the next after a failure.
    std::vector<std::string> instances;
    /// Failure domain.
    std::string failureDomain = "local";
    /// Service that it offers.
    std::string service = "pairing";
    /// Requests that it runs at the same time; it refuses further ones.
    int slots = 8;
    /// Connections that it announces.
    int connections = 60;
    /// Time that a request runs unless its header field `Standin-Service-Us` says otherwise.
    std::chrono::microseconds serviceTime { 5'000 };
    /// Fault of a share of the requests that name none in their header field `Standin-Fault`.
    executor_fault fault = executor_fault::None;
    /// That share, 0 to 1.
    double faultShare = 1;
    /// Seed of the choice of these requests.
    std::uint64_t seed = 1;
    /// Time between two announcements.
    std::chrono::milliseconds announcePeriod { 1'000 };
};

} // namespace chervilport
