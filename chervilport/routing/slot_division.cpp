#include "chervilport/routing/slot_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chervilport {

std::vector<std::vector<std::int32_t>> divideSlots(std::span<const std::int32_t> slots, std::span<const double> weights)
{
    std::vector<std::vector<std::int32_t>> rows(slots.size(), std::vector<std::int32_t>(weights.size(), 0));
    const auto sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (weights.empty() || sum <= 0)
        return rows;

    // Slots due to each instance so far minus the slots that it has received.
    std::vector<double> deficits(weights.size(), 0.0);
    std::vector<std::size_t> order(weights.size());
    for (std::size_t executor = 0; executor < slots.size(); ++executor) {
        auto& row = rows[executor];
        std::int32_t left = slots[executor];
        for (std::size_t i = 0; i < weights.size(); ++i)
            deficits[i] += slots[executor] * weights[i] / sum;
        // First assigns the integral part of each deficit. An instance that received more than its due has a negative
        // deficit and receives less at later executors.
        std::iota(order.begin(), order.end(), 0U);
        std::stable_sort(
            order.begin(), order.end(), [&](auto one, auto other) { return deficits[one] > deficits[other]; });
        for (const auto i : order) {
            const auto integral = std::clamp(static_cast<std::int32_t>(std::floor(deficits[i])), 0, left);
            row[i] = integral;
            deficits[i] -= integral;
            left -= integral;
        }
        // Then assigns the remaining slots one by one, by decreasing fractional deficit. One round suffices, because
        // rounding down leaves fewer slots than there are instances.
        std::stable_sort(
            order.begin(), order.end(), [&](auto one, auto other) { return deficits[one] > deficits[other]; });
        for (std::size_t next = 0; left > 0; next = (next + 1) % order.size()) {
            ++row[order[next]];
            deficits[order[next]] -= 1;
            --left;
        }
    }
    return rows;
}

} // namespace chervilport
