#include "chervilport/routing/upstream_choice.h"

#include <limits>

namespace chervilport {

namespace {

    double loadOf(const upstream_candidate& candidate)
    {
        // Counts the new request as well: otherwise an idle upstream would have load 0 whatever its factor.
        return candidate.factor * (candidate.inUse + 1) / candidate.share;
    }

} // namespace

std::optional<std::size_t> chooseUpstream(std::span<const upstream_candidate> candidates, std::uint64_t seed)
{
    std::optional<std::size_t> best;
    double bestLoad = std::numeric_limits<double>::infinity();
    std::uint64_t equals = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (candidate.inUse >= candidate.share)
            continue;
        const auto load = candidate.isProbe ? 0.0 : loadOf(candidate);
        if (load < bestLoad) {
            best = index;
            bestLoad = load;
            equals = 1;
            continue;
        }
        // Chooses each of n equally loaded candidates for 1/n of the seeds (reservoir sampling).
        if (load == bestLoad) {
            ++equals;
            seed = seed * 6364136223846793005U + 1442695040888963407U;
            if ((seed >> 33U) % equals == 0)
                best = index;
        }
    }
    return best;
}

} // namespace chervilport
