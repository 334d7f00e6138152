#include "chervilport/logging/event_rate.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace chervilport {

namespace {

    // Token bucket of one event.
    struct event_bucket {
        double tokens = eventBurst;
        std::chrono::steady_clock::time_point updated;
        std::uint64_t suppressed = 0;
    };

    struct event_buckets {
        std::mutex mutex;
        std::map<std::string, event_bucket, std::less<>> buckets;
    };

    event_buckets& allBuckets()
    {
        static event_buckets buckets;
        return buckets;
    }

} // namespace

std::optional<event_permit> takeEventPermit(std::string_view event, std::chrono::steady_clock::time_point now)
{
    auto& all = allBuckets();
    const std::lock_guard lock(all.mutex);
    auto found = all.buckets.find(event);
    if (found == all.buckets.end())
        found = all.buckets.emplace(std::string(event), event_bucket { eventBurst, now, 0 }).first;
    auto& bucket = found->second;

    // Refill the bucket for the elapsed time.
    const std::chrono::duration<double> elapsed = now - bucket.updated;
    bucket.tokens = std::min(eventBurst, bucket.tokens + elapsed.count() * eventsPerSecond);
    bucket.updated = now;

    // Take a token.
    if (bucket.tokens < 1) {
        ++bucket.suppressed;
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return event_permit { std::exchange(bucket.suppressed, 0) };
}

} // namespace chervilport
