#include "chervilport/control/descriptor_budget.h"

#include <algorithm>

namespace chervilport {

namespace {

    /// One descriptor in this many is for the connections of a kind.
    constexpr std::size_t perInstance = 8;
    constexpr std::size_t perUnidentified = 32;
    constexpr std::size_t perCaller = 4;
    constexpr std::size_t perWorker = 2;
    /// Kept connections of callers as a share of all of them, in eighths.
    constexpr std::size_t keptEighths = 7;
    constexpr std::size_t eighths = 8;

    std::size_t shareOf(std::size_t descriptors, std::size_t perOne)
    {
        return std::max<std::size_t>(1, descriptors / perOne);
    }

} // namespace

descriptor_budget divideDescriptors(std::size_t maxDescriptors)
{
    descriptor_budget budget;
    budget.instances = shareOf(maxDescriptors, perInstance);
    budget.unidentified = shareOf(maxDescriptors, perUnidentified);
    budget.callers = shareOf(maxDescriptors, perCaller);
    budget.keptCallers = std::max<std::size_t>(1, budget.callers * keptEighths / eighths);
    budget.workers = shareOf(maxDescriptors, perWorker);
    return budget;
}

} // namespace chervilport
