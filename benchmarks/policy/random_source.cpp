#include "benchmarks/policy/random_source.h"

#include <cassert>

namespace chervilport::policy_benchmark {

std::int64_t random_source::below(std::int64_t bound)
{
    assert(bound > 0);
    // The bias of the remainder is below 2^-30 for the bounds used here.
    return static_cast<std::int64_t>((m_engine() >> 1) % static_cast<std::uint64_t>(bound));
}

std::int64_t random_source::between(std::int64_t low, std::int64_t high) { return low + below(high - low + 1); }

bool random_source::chance(std::int64_t permille) { return below(1000) < permille; }

std::size_t random_source::pick(std::span<const std::int32_t> weights)
{
    std::int64_t sum = 0;
    for (const auto weight : weights)
        sum += weight;
    auto remaining = below(sum);
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (remaining < weights[i])
            return i;
        remaining -= weights[i];
    }
    assert(false);
    return 0;
}

namespace {

    // Finalizer of the splitmix64 generator.
    std::uint64_t finalize(std::uint64_t value)
    {
        value += 0x9e3779b97f4a7c15ULL;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

} // namespace

std::uint64_t mixHash(std::uint64_t a, std::uint64_t b, std::uint64_t c)
{
    return finalize(finalize(finalize(a) ^ b) ^ c);
}

} // namespace chervilport::policy_benchmark
