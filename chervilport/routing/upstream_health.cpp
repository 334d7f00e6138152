#include "chervilport/routing/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace chervilport {

namespace {

    /// Increase of the load factor of an upstream that fails every request. An upstream that fails immediately has no
    /// load and would otherwise be the first choice for every request until it is ejected.
    constexpr double failureLoadFactor = 15;

    double failureRatioAt(const upstream_health& health, const upstream_health_settings& settings, log_time now)
    {
        const std::chrono::duration<double> elapsed = now - health.lastAttemptEnd;
        const std::chrono::duration<double> halfLife = settings.failureHalfLife;
        return health.failureRatio * std::exp2(-elapsed / halfLife);
    }

    void eject(upstream_health& health, const upstream_health_settings& settings, log_time now)
    {
        health.isEjected = true;
        health.probeSuccesses = 0;
        health.ejectionTime = settings.baseEjectionTime;
        health.nextProbe = now + health.ejectionTime;
    }

    void recordProbe(upstream_health& health, const upstream_health_settings& settings, bool hasFailed, log_time now)
    {
        if (hasFailed) {
            health.probeSuccesses = 0;
            health.ejectionTime = std::min(health.ejectionTime * 2, settings.maxEjectionTime);
            health.nextProbe = now + health.ejectionTime;
            return;
        }
        health.nextProbe = now;
        if (++health.probeSuccesses >= settings.requiredProbeSuccesses)
            health = {};
    }

    bool isUnhealthy(const upstream_health& health, const upstream_health_settings& settings)
    {
        return health.consecutiveFailures >= settings.consecutiveFailures
            || (health.attempts >= settings.minAttemptsForRatio && health.failureRatio > settings.failureRatio);
    }

} // namespace

bool recordAttempt(health_table& table, const upstream_id& id, attempt_result result, std::size_t ejected,
    std::size_t total, log_time now)
{
    const auto& settings = table.settings;
    auto& health = table.entries[id];
    if (result == attempt_result::Refused) {
        // A refused probe shows nothing about the health; the next probe is due after the same interval.
        if (health.isEjected)
            health.nextProbe = now + health.ejectionTime;
        return false;
    }
    const bool hasFailed = result != attempt_result::Success;
    if (health.isEjected) {
        recordProbe(health, settings, hasFailed, now);
        return false;
    }

    // Updates the failure ratio, after its decay since the last attempt, and the consecutive failures.
    ++health.attempts;
    health.failureRatio = failureRatioAt(health, settings, now);
    health.lastAttemptEnd = now;
    health.failureRatio += settings.ewmaWeight * ((hasFailed ? 1.0 : 0.0) - health.failureRatio);
    health.consecutiveFailures = hasFailed ? health.consecutiveFailures + 1 : 0;
    // Ejects an unhealthy upstream unless too many upstreams of the service are ejected.
    const bool mayEject = static_cast<double>(ejected + 1) <= settings.maxEjectedRatio * static_cast<double>(total);
    if (!isUnhealthy(health, settings) || !mayEject)
        return false;
    eject(health, settings, now);
    return true;
}

bool maySend(const health_table& table, const upstream_id& id, bool isIdempotent, log_time now)
{
    const auto found = table.entries.find(id);
    if (found == table.entries.end() || !found->second.isEjected)
        return true;
    const auto wait = isIdempotent ? log_duration(0) : table.settings.maxEjectionTime;
    return now >= found->second.nextProbe + wait;
}

void recordSend(health_table& table, const upstream_id& id, log_time now)
{
    const auto found = table.entries.find(id);
    if (found != table.entries.end() && found->second.isEjected)
        found->second.nextProbe = now + table.settings.probeTimeout;
}

bool isEjected(const health_table& table, const upstream_id& id)
{
    const auto found = table.entries.find(id);
    return found != table.entries.end() && found->second.isEjected;
}

double loadFactor(const health_table& table, const upstream_id& id, log_time now)
{
    const auto found = table.entries.find(id);
    if (found == table.entries.end())
        return 1;
    return 1 + failureLoadFactor * failureRatioAt(found->second, table.settings, now);
}

void removeHealth(health_table& table, const upstream_id& id) { table.entries.erase(id); }

} // namespace chervilport
