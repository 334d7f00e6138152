#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace chervilport {

/// Distribution of durations in seconds over fixed buckets from 1 ms to 1 day.
class histogram {
public:
    /// Creates an empty histogram.
    histogram();
    ~histogram();

    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    /// Adds a duration in seconds; negative ones count as 0.
    void add(double seconds);

    /// Returns the number of durations added.
    std::uint64_t count() const;

    /// Returns the sum of all durations, in seconds.
    double sum() const;

    /// Returns the largest duration, in seconds; 0 when empty.
    double max() const;

    /// Returns how many durations are at most the bound of the bucket.
    std::uint64_t cumulativeCount(std::size_t bucket) const;

    /// Returns the upper bounds of the buckets in seconds, rising; the last bucket has no bound and is not listed.
    static std::span<const double> bounds();

private:
    struct accumulators;
    std::unique_ptr<accumulators> m_accumulators;
};

} // namespace chervilport
