#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace chervilport::soak {

/// Name of a task in requests to executors: `JOB.OCCURRENCE.STEP.INDEX`.
struct task_name {
    /// Id of the job.
    std::string job;
    /// Occurrence of the job, from 0.
    std::uint32_t occurrence = 0;
    /// Position of the step in the job, from 0.
    std::uint32_t step = 0;
    /// Position of the task in the step, from 0.
    std::uint32_t index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
    friend bool operator<(const task_name& left, const task_name& right)
    {
        return std::tie(left.job, left.occurrence, left.step, left.index)
            < std::tie(right.job, right.occurrence, right.step, right.index);
    }
};

/// Parses a name. Returns nothing when the text is invalid.
std::optional<task_name> parseTaskName(std::string_view);

/// Returns the name in the form that `parseTaskName` reads.
std::string toText(const task_name&);

} // namespace chervilport::soak
