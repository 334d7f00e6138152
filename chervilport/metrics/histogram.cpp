#include "chervilport/metrics/histogram.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace chervilport {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 20> bucketBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
        10, 30, 60, 300, 1'800, 7'200, 28'800, 86'400 };

    using duration_statistics = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;

} // namespace

struct histogram::accumulators {
    duration_statistics all;
    std::array<std::uint64_t, bucketBounds.size() + 1> buckets {};
};

histogram::histogram()
    : m_accumulators(std::make_unique<accumulators>())
{
}

histogram::~histogram() = default;

void histogram::add(double seconds)
{
    const double counted = std::max(seconds, 0.0);
    m_accumulators->all(counted);
    const auto* const bound = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), counted);
    ++m_accumulators->buckets[static_cast<std::size_t>(bound - bucketBounds.begin())];
}

std::uint64_t histogram::count() const { return acc::count(m_accumulators->all); }

double histogram::sum() const { return acc::sum(m_accumulators->all); }

double histogram::max() const { return count() ? acc::max(m_accumulators->all) : 0.0; }

std::uint64_t histogram::cumulativeCount(std::size_t bucket) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= bucket && i < m_accumulators->buckets.size(); ++i)
        total += m_accumulators->buckets[i];
    return total;
}

std::span<const double> histogram::bounds() { return bucketBounds; }

} // namespace chervilport
