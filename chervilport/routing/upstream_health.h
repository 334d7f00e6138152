#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/routing/upstream_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace chervilport {

/// How an attempt at an upstream ended.
enum class attempt_result : std::uint8_t {
    /// A whole answer other than an error of the upstream.
    Success,
    /// No connection could be established.
    ConnectError,
    /// The connection ended before or within the answer, or the answer was invalid.
    TruncatedResponse,
    /// There was no answer in time.
    Timeout,
    /// The upstream answered with an error of its own (status 500 and above, except for a refusal).
    ErrorResponse,
    /// The upstream refused before running, for example because its slots were taken. Says nothing about its health.
    Refused,
};

/// Rules of ejection.
struct upstream_health_settings {
    /// Failures in a row after which an upstream is ejected.
    std::int32_t consecutiveFailures = 5;
    /// Share of failures above which an upstream is ejected, and the weight of each new attempt in that share: it
    /// covers about the last ten attempts.
    double failureRatio = 0.5;
    double ewmaWeight = 0.1;
    /// Time in which a share of failures halves without attempts. An upstream that is avoided because of it would
    /// otherwise receive no request that could show its recovery.
    log_duration failureHalfLife = std::chrono::seconds(5);
    /// Attempts before the share counts.
    std::int32_t minAttemptsForRatio = 10;
    /// Time from an ejection to the first probe; it doubles with each failed probe.
    log_duration baseEjectionTime = std::chrono::seconds(2);
    /// Longest time between probes.
    log_duration maxEjectionTime = std::chrono::seconds(30);
    /// Time after which a probe without an end no longer blocks the next one.
    log_duration probeTimeout = std::chrono::seconds(60);
    /// Successful probes in a row that end an ejection.
    std::int32_t requiredProbeSuccesses = 2;
    /// Largest share of the upstreams of a service that may be ejected at once. Where most fail, the cause is the
    /// service or the requests, and ejection would only overload the rest.
    double maxEjectedRatio = 0.5;
};

/// Health of one life of an upstream.
struct upstream_health {
    /// Recent share of failures, 0 to 1, as of the last attempt.
    double failureRatio = 0;
    /// When the last attempt ended.
    log_time lastEnd;
    /// Attempts that have ended.
    std::int64_t attempts = 0;
    /// Failures since the last success.
    std::int32_t consecutiveFailures = 0;
    /// Whether only probes are sent to it.
    bool isEjected = false;
    /// Earliest time of the next probe while ejected.
    log_time nextProbe;
    /// Present pause between probes.
    log_duration ejectionTime {};
    /// Successful probes in a row.
    std::int32_t probeSuccesses = 0;
};

/// Health of all upstreams.
struct health_table {
    /// Rules.
    upstream_health_settings settings;
    /// Health by life of upstream; one without an entry is healthy.
    std::map<upstream_id, upstream_health> entries;
};

/// Notes the end of an attempt. `ejected` and `total` count the upstreams of the service that are ejected and present.
/// Returns whether the upstream was ejected by it.
bool recordAttempt(
    health_table&, const upstream_id&, attempt_result, std::size_t ejected, std::size_t total, log_time now);

/// Returns whether a request may be sent: the upstream is healthy, or a probe is due. A request that must not run twice
/// is a probe only when no other request has been one for the longest pause, since a failed probe may leave it unknown.
bool maySend(const health_table&, const upstream_id&, bool isIdempotent, log_time now);

/// Notes that a request is sent; for an ejected upstream it is a probe, and no other is due until it ends.
void recordSend(health_table&, const upstream_id&, log_time now);

/// Returns whether the upstream is ejected.
bool isEjected(const health_table&, const upstream_id&);

/// Returns the factor by which the load of the upstream counts more because of recent failures, from 1.
double loadFactor(const health_table&, const upstream_id&, log_time now);

/// Forgets a life that has ended.
void removeHealth(health_table&, const upstream_id&);

} // namespace chervilport
