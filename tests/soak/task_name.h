#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace chervilport::soak {

/// A task as orders name it: `JOB.OCCURRENCE.STEP.INDEX`.
struct task_name {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
    friend bool operator<(const task_name& left, const task_name& right)
    {
        return std::tie(left.job, left.occurrence, left.step, left.index)
            < std::tie(right.job, right.occurrence, right.step, right.index);
    }
};

/// Reads a name, or nothing when the text is none.
std::optional<task_name> parseTaskName(std::string_view);

/// Returns the name as orders have it.
std::string toText(const task_name&);

} // namespace chervilport::soak
