#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace chervilport {

/// Histogram of durations in seconds, with fixed buckets from 1 ms to 1 day. Not thread-safe.
class histogram {
public:
    /// Creates an empty histogram.
    histogram();
    ~histogram();

    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    /// Adds a duration in seconds; a negative duration counts as 0.
    void add(double seconds);

    /// Returns the number of durations added.
    std::uint64_t count() const;

    /// Returns the sum of all durations, in seconds.
    double sum() const;

    /// Returns the largest duration, in seconds; 0 when empty.
    double max() const;

    /// Returns the number of durations up to and including the upper bound of the bucket.
    std::uint64_t cumulativeCount(std::size_t bucket) const;

    /// Returns the upper bounds of the buckets in seconds, in rising order. The last bucket is unbounded and not
    /// included.
    static std::span<const double> bounds();

private:
    struct accumulators;
    std::unique_ptr<accumulators> m_accumulators;
};

} // namespace chervilport
