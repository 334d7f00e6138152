#include "chervilport/metrics/histogram.h"
#include "chervilport/metrics/metric_registry.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

bool contains(const std::string& text, std::string_view line) { return text.find(line) != std::string::npos; }

} // namespace

// Guards against a duration on the bound of a bucket being counted above it.
Test(metrics, boundBelongsToItsBucket)
{
    histogram values;
    values.add(0.001);
    values.add(0.0011);
    values.add(1e9);
    cr_assert_eq(values.cumulativeCount(0), 1);
    cr_assert_eq(values.cumulativeCount(1), 2);
    cr_assert_eq(values.cumulativeCount(histogram::bounds().size() - 1), 2);
    cr_assert_eq(values.count(), 3);
}

// Guards against a page that scrapers reject because a label value contains quotes or line feeds.
Test(metrics, labelsAreEscaped)
{
    metric_registry registry;
    registry.increment("requests_total", { { "workspace", "a\"b\\c\nd" } });
    cr_assert(contains(registry.render(), "requests_total{workspace=\"a\\\"b\\\\c\\nd\"} 1\n"));
}

// Guards against memory that grows with the number of label values that clients choose.
Test(metrics, seriesAreBounded)
{
    metric_registry registry;
    for (int i = 0; i < 2'000; ++i)
        registry.increment("requests_total", { { "workspace", std::to_string(i) } });
    cr_assert(contains(registry.render(), "requests_total{workspace=\"other\"} 1488\n"));
}

// Guards against histograms of different workspaces being mixed.
Test(metrics, histogramsAreKeptPerLabel)
{
    metric_registry registry;
    registry.observe("wait_seconds", { { "workspace", "a" } }, 0.2);
    registry.observe("wait_seconds", { { "workspace", "b" } }, 20);
    const auto text = registry.render();
    cr_assert(contains(text, "wait_seconds_bucket{workspace=\"a\",le=\"0.25\"} 1\n"));
    cr_assert(contains(text, "wait_seconds_bucket{workspace=\"b\",le=\"0.25\"} 0\n"));
    cr_assert(contains(text, "wait_seconds_sum{workspace=\"b\"} 20\n"));
}
