#include "chervilport/metrics/metric_registry.h"

#include "chervilport/metrics/histogram.h"

#include <cmath>
#include <map>
#include <mutex>
#include <sstream>

namespace chervilport {

namespace {

    constexpr std::size_t maxSeriesPerMetric = 512;
    constexpr std::string_view overflowValue = "other";
    constexpr int numberDigits = 15;

    using label_set = std::vector<metric_label>;

    template <typename Value> using family_map = std::map<std::string, std::map<label_set, Value>, std::less<>>;

    void appendEscaped(std::string& text, std::string_view value)
    {
        for (const char each : value) {
            if (each == '\n') {
                text += "\\n";
                continue;
            }
            if (each == '"' || each == '\\')
                text += '\\';
            text += each;
        }
    }

    // Renders labels in braces. `extra` is one more label, already rendered, or empty.
    std::string renderLabels(const label_set& labels, const std::string& extra)
    {
        std::string text;
        for (const auto& label : labels) {
            text += (text.empty() ? "" : ",") + label.name + "=\"";
            appendEscaped(text, label.value);
            text += '"';
        }
        if (!extra.empty())
            text += (text.empty() ? "" : ",") + extra;
        return text.empty() ? text : "{" + text + "}";
    }

    // Returns the series with the labels, or the overflow series when the metric has its maximum number of series.
    template <typename Value>
    Value& seriesOf(family_map<Value>& families, std::string_view name, const label_set& labels)
    {
        auto family = families.find(name);
        if (family == families.end())
            family = families.emplace(std::string(name), std::map<label_set, Value> {}).first;
        const auto found = family->second.find(labels);
        if (found != family->second.end())
            return found->second;
        if (family->second.size() < maxSeriesPerMetric)
            return family->second[labels];
        auto overflow = labels;
        for (auto& label : overflow)
            label.value = overflowValue;
        return family->second[overflow];
    }

    void renderHistogram(std::ostream& out, const std::string& name, const label_set& labels, const histogram& values)
    {
        const auto bounds = histogram::bounds();
        for (std::size_t i = 0; i < bounds.size(); ++i) {
            std::ostringstream bound;
            bound << "le=\"" << bounds[i] << '"';
            out << name << "_bucket" << renderLabels(labels, bound.str()) << ' ' << values.cumulativeCount(i) << '\n';
        }
        out << name << "_bucket" << renderLabels(labels, "le=\"+Inf\"") << ' ' << values.count() << '\n';
        out << name << "_sum" << renderLabels(labels, "") << ' ' << values.sum() << '\n';
        out << name << "_count" << renderLabels(labels, "") << ' ' << values.count() << '\n';
    }

    template <typename Value>
    void renderScalars(std::ostream& out, const family_map<Value>& families, std::string_view type)
    {
        for (const auto& [name, family] : families) {
            out << "# TYPE " << name << ' ' << type << '\n';
            for (const auto& [labels, value] : family)
                out << name << renderLabels(labels, "") << ' ' << value << '\n';
        }
    }

} // namespace

struct metric_registry::implementation {
    mutable std::mutex mutex;
    family_map<histogram> histograms;
    family_map<std::uint64_t> counters;
    family_map<double> gauges;
};

metric_registry::metric_registry()
    : m_implementation(std::make_unique<implementation>())
{
}

metric_registry::~metric_registry() = default;

void metric_registry::observe(std::string_view name, const std::vector<metric_label>& labels, double seconds)
{
    const std::scoped_lock lock(m_implementation->mutex);
    seriesOf(m_implementation->histograms, name, labels).add(seconds);
}

void metric_registry::increment(std::string_view name, const std::vector<metric_label>& labels, std::uint64_t by)
{
    const std::scoped_lock lock(m_implementation->mutex);
    seriesOf(m_implementation->counters, name, labels) += by;
}

void metric_registry::set(std::string_view name, const std::vector<metric_label>& labels, double value)
{
    const std::scoped_lock lock(m_implementation->mutex);
    seriesOf(m_implementation->gauges, name, labels) = value;
}

std::string metric_registry::render() const
{
    const std::scoped_lock lock(m_implementation->mutex);
    std::ostringstream out;
    out.precision(numberDigits);
    renderScalars(out, m_implementation->counters, "counter");
    renderScalars(out, m_implementation->gauges, "gauge");
    for (const auto& [name, family] : m_implementation->histograms) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, values] : family)
            renderHistogram(out, name, labels, values);
    }
    return out.str();
}

} // namespace chervilport
