#pragma once

#include <cstdint>
#include <random>
#include <span>

namespace chervilport::policy_benchmark {

/// Seeded source of pseudorandom numbers that are the same on every platform. It uses only the engine of the standard
/// library, because the distributions are implementation-defined.
class random_source {
public:
    /// Creates a source; the same seed gives the same numbers.
    explicit random_source(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Returns a number from 0 to `bound` - 1; `bound` must be positive.
    std::int64_t below(std::int64_t bound);

    /// Returns a number from `low` to `high`, both included.
    std::int64_t between(std::int64_t low, std::int64_t high);

    /// Returns true with the given probability in thousandths.
    bool chance(std::int64_t permille);

    /// Returns an index drawn in proportion to the weights, which must have a positive sum.
    std::size_t pick(std::span<const std::int32_t> weights);

private:
    std::mt19937_64 m_engine;
};

/// Returns a hash of the arguments, for choices that must not depend on the order of events.
std::uint64_t mixHash(std::uint64_t a, std::uint64_t b, std::uint64_t c);

} // namespace chervilport::policy_benchmark
