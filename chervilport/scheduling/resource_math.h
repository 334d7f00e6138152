#pragma once

#include "chervilport/scheduling/resources.h"

#include <algorithm>
#include <cstdint>

namespace chervilport {

/// Returns the sum of both amounts.
inline resources operator+(const resources& a, const resources& b)
{
    return { a.accelerators + b.accelerators, a.millicores + b.millicores, a.memoryMb + b.memoryMb };
}

/// Returns the difference of both amounts; members may become negative.
inline resources operator-(const resources& a, const resources& b)
{
    return { a.accelerators - b.accelerators, a.millicores - b.millicores, a.memoryMb - b.memoryMb };
}

/// Returns the amount of `count` tasks of the given demand.
inline resources operator*(const resources& demand, std::int32_t count)
{
    return { demand.accelerators * count, demand.millicores * count, demand.memoryMb * count };
}

/// Returns the larger amount of each resource.
inline resources maxOf(const resources& a, const resources& b)
{
    return { std::max(a.accelerators, b.accelerators), std::max(a.millicores, b.millicores),
        std::max(a.memoryMb, b.memoryMb) };
}

/// Returns the smaller amount of each resource.
inline resources minOf(const resources& a, const resources& b)
{
    return { std::min(a.accelerators, b.accelerators), std::min(a.millicores, b.millicores),
        std::min(a.memoryMb, b.memoryMb) };
}

/// Returns whether a demand fits into an amount.
inline bool fits(const resources& demand, const resources& amount)
{
    return demand.accelerators <= amount.accelerators && demand.millicores <= amount.millicores
        && demand.memoryMb <= amount.memoryMb;
}

/// Returns how many tasks of a demand fit into an amount, at most `limit`; a negative amount holds none.
inline std::int32_t countFitting(const resources& demand, const resources& amount, std::int32_t limit)
{
    if (!fits(demand, amount))
        return 0;
    std::int64_t count = limit;
    if (demand.accelerators > 0)
        count = std::min<std::int64_t>(count, amount.accelerators / demand.accelerators);
    if (demand.millicores > 0)
        count = std::min<std::int64_t>(count, amount.millicores / demand.millicores);
    if (demand.memoryMb > 0)
        count = std::min<std::int64_t>(count, amount.memoryMb / demand.memoryMb);
    return static_cast<std::int32_t>(count);
}

} // namespace chervilport
