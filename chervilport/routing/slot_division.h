#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chervilport {

/// Divides the slots of each executor among instances in proportion to their weights. Row e, column i of the result
/// contains the slots of executor e for instance i; each row sums to the slots of its executor. Rounding errors carry
/// over from one executor to the next, so that the sums over all executors follow the weights; with equal weights the
/// remainders rotate among the instances.
std::vector<std::vector<std::int32_t>> divideSlots(
    std::span<const std::int32_t> slots, std::span<const double> weights);

} // namespace chervilport
