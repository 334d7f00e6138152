#pragma once

#include <string>
#include <tuple>

namespace chervilport {

/// A label of a metric, for example workspace "rosters".
struct metric_label {
    /// Name in lower case.
    std::string name;
    /// Value; any text.
    std::string value;

    friend bool operator<(const metric_label& left, const metric_label& right)
    {
        return std::tie(left.name, left.value) < std::tie(right.name, right.value);
    }
};

} // namespace chervilport
