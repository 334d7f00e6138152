#pragma once

#include "chervilport/metrics/metric_label.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// All metrics of an instance, rendered in the Prometheus text format. Thread-safe.
/// The number of series per metric is limited to 512; further label values are counted under the value "other".
class metric_registry {
public:
    /// Creates an empty registry.
    metric_registry();
    ~metric_registry();

    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    /// Adds a duration in seconds to a histogram, which is created on first use, as counters and gauges are.
    void observe(std::string_view name, const std::vector<metric_label>&, double seconds);

    /// Adds to a counter.
    void increment(std::string_view name, const std::vector<metric_label>&, std::uint64_t by = 1);

    /// Sets the value of a gauge.
    void set(std::string_view name, const std::vector<metric_label>&, double value);

    /// Returns all metrics in the Prometheus text format: counters, gauges and histograms, each by name and labels.
    std::string render() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilport
