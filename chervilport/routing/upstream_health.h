#pragma once

#include "chervilport/core/log_time.h"
#include "chervilport/routing/upstream_id.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace chervilport {

/// Result of an attempt at an upstream.
enum class attempt_result : std::uint8_t {
    /// A complete response other than an error of the upstream.
    Success,
    /// No connection could be established.
    ConnectError,
    /// The connection closed before or within the response, or the response was invalid.
    TruncatedResponse,
    /// No response arrived within the timeout.
    Timeout,
    /// The upstream responded with an error (status 500 or above, except for a refusal).
    ErrorResponse,
    /// The upstream refused the request before running it, for example because its slots were in use. Does not affect
    /// its health.
    Refused,
};

/// Settings of the ejection of upstreams (outlier detection).
struct upstream_health_settings {
    /// Number of consecutive failures after which an upstream is ejected.
    std::int32_t consecutiveFailures = 5;
    /// Failure ratio above which an upstream is ejected.
    double failureRatio = 0.5;
    /// Weight of the newest attempt in the failure ratio, a moving average over about the last ten attempts.
    double ewmaWeight = 0.1;
    /// Time in which the failure ratio halves without attempts. Without the decay, an upstream that is avoided because
    /// of its ratio would receive no request that could show its recovery.
    log_duration failureHalfLife = std::chrono::seconds(5);
    /// Minimum number of attempts before the failure ratio is evaluated.
    std::int32_t minAttemptsForRatio = 10;
    /// Time from an ejection to the first probe; doubles with each failed probe.
    log_duration baseEjectionTime = std::chrono::seconds(2);
    /// Longest time between probes.
    log_duration maxEjectionTime = std::chrono::seconds(30);
    /// Time after which a probe without a result no longer blocks the next probe.
    log_duration probeTimeout = std::chrono::seconds(60);
    /// Number of consecutive successful probes that end an ejection.
    std::int32_t requiredProbeSuccesses = 2;
    /// Largest ratio of the upstreams of a service that may be ejected at the same time. If most of them fail, the
    /// cause is the service or the requests, and ejection would only overload the others.
    double maxEjectedRatio = 0.5;
};

/// Health of one incarnation of an upstream.
struct upstream_health {
    /// Moving average of the failure ratio, 0 to 1, as of the end of the last attempt.
    double failureRatio = 0;
    /// Time at which the last attempt ended.
    log_time lastAttemptEnd;
    /// Number of ended attempts.
    std::int64_t attempts = 0;
    /// Number of failures since the last success.
    std::int32_t consecutiveFailures = 0;
    /// Whether the upstream is ejected and receives only probes.
    bool isEjected = false;
    /// Earliest time of the next probe while ejected.
    log_time nextProbe;
    /// Current interval between probes.
    log_duration ejectionTime {};
    /// Number of consecutive successful probes.
    std::int32_t probeSuccesses = 0;
};

/// Health of all upstreams.
struct health_table {
    /// Ejection settings.
    upstream_health_settings settings;
    /// Health by upstream and incarnation; an upstream without an entry is healthy.
    std::map<upstream_id, upstream_health> entries;
};

/// Records the result of an attempt. `ejected` and `total` are the numbers of ejected and of all present upstreams of
/// the service. Returns whether this result ejected the upstream.
bool recordAttempt(
    health_table&, const upstream_id&, attempt_result, std::size_t ejected, std::size_t total, log_time now);

/// Returns whether a request may be sent: the upstream is not ejected, or a probe is due. A non-idempotent request is
/// used as a probe only if the probe has been due for `maxEjectionTime`, because its outcome may be unknown if it
/// fails.
bool maySend(const health_table&, const upstream_id&, bool isIdempotent, log_time now);

/// Records that a request is sent. For an ejected upstream the request is a probe, and no other probe is due until it
/// ends or `probeTimeout` has passed.
void recordSend(health_table&, const upstream_id&, log_time now);

/// Returns whether the upstream is ejected.
bool isEjected(const health_table&, const upstream_id&);

/// Returns the factor, at least 1, by which recent failures increase the load of the upstream in chooseUpstream().
double loadFactor(const health_table&, const upstream_id&, log_time now);

/// Removes the health of an incarnation that has ended.
void removeHealth(health_table&, const upstream_id&);

} // namespace chervilport
