#pragma once

#include "chervilport/http/http_client.h"

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace chervilport {

/// Requests that a run sends.
struct load_plan {
    /// Name of the run; part of the name of each request.
    std::string name;
    /// Addresses of the targets; each request goes to a random one.
    std::vector<std::string> targets;
    /// Path of the requests.
    std::string path = "/v1/requests/pairing/run";
    /// Requests in total.
    int requests = 0;
    /// Number of callers by workspace; each sends its next request after the response to its last one.
    std::map<std::string, int> callers;
    /// Share of non-idempotent requests.
    double nonIdempotentShare = 0;
    /// Time that a request runs at the executor.
    std::chrono::microseconds serviceTime { 5'000 };
    /// Whether a non-idempotent request that did not get its result is sent once more under its key.
    bool resends = false;
    /// Seed of all random choices.
    std::uint64_t seed = 1;
    /// Called after each completed request with the number of completed requests; may be empty.
    std::function<void(int)> progress;
};

/// Outcome of a request for its caller.
enum class load_outcome : std::uint8_t {
    /// The complete result of this request.
    Result,
    /// An error that states that the request did not run.
    NotRun,
    /// An error that states that the request may have run, or an error of the executor.
    Uncertain,
    /// A result other than that of this request.
    WrongResult,
    /// No complete response, although the request may have been received.
    Lost,
    /// The target accepted no connection, so the request was not sent.
    Refused,
};

/// One request of a run.
struct load_record {
    /// Workspace.
    std::string workspace;
    /// Whether it must not run twice.
    bool isNonIdempotent = false;
    /// Outcome of the request.
    load_outcome outcome = load_outcome::Lost;
    /// Time from sending the request to its response.
    std::chrono::microseconds latency {};
};

/// Result of a run.
struct load_result {
    /// All requests by name, which is also the body and key of a request.
    std::map<std::string, load_record> records;
    /// Time from the first request to the last response.
    std::chrono::duration<double> duration {};

    /// Returns the number of requests with the outcome.
    int count(load_outcome) const;
    /// Returns a quantile, 0 to 1, of the latencies of all results in milliseconds; 0 without results.
    double latencyMs(double quantile) const;
};

/// Sends the requests of a plan and returns when all have completed.
load_result runLoad(asio::io_context&, http_client&, const load_plan&);

} // namespace chervilport
