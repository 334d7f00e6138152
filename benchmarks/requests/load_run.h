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

/// What a run sends.
struct load_plan {
    /// Name of the run; part of the name of each request.
    std::string name;
    /// Addresses that the requests go to, chosen at random for each.
    std::vector<std::string> targets;
    /// First part of the target of a request.
    std::string path = "/v1/requests/pairing/run";
    /// Requests in total.
    int requests = 0;
    /// Callers by workspace; each sends its next request after the answer to the last.
    std::map<std::string, int> callers;
    /// Share of non-idempotent requests.
    double nonIdempotentShare = 0;
    /// Time that a request runs at the executor.
    std::chrono::microseconds serviceTime { 5'000 };
    /// Whether a non-idempotent request that was not answered with its result is sent once more under its key.
    bool resends = false;
    /// Seed of all choices.
    std::uint64_t seed = 1;
    /// Called after each answer with the number of answers; may be empty.
    std::function<void(int)> progress;
};

/// How a request ended for its caller.
enum class load_outcome : std::uint8_t {
    /// With its whole own result.
    Result,
    /// With an error that says that it was not run.
    NotRun,
    /// With an error that says that it may have run, or with an error of the executor.
    Uncertain,
    /// With another result than its own.
    WrongResult,
    /// Without a whole answer, although it may have been received.
    Lost,
    /// The target accepted no connection.
    Refused,
};

/// One request of a run.
struct load_record {
    /// Workspace.
    std::string workspace;
    /// Whether it must not run twice.
    bool isNonIdempotent = false;
    /// How it ended.
    load_outcome outcome = load_outcome::Lost;
    /// Time to the answer.
    std::chrono::microseconds latency {};
};

/// Result of a run.
struct load_result {
    /// All requests by name, which is also the body and key of a request.
    std::map<std::string, load_record> records;
    /// Time from the first request to the last answer.
    std::chrono::duration<double> duration {};

    /// Returns the number of requests with that end.
    int count(load_outcome) const;
    /// Returns a quantile of the latencies of all results in milliseconds.
    double latencyMs(double quantile) const;
};

/// Sends the requests of a plan and returns when all are answered.
load_result runLoad(asio::io_context&, http_client&, const load_plan&);

} // namespace chervilport
