#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilport::soak {

/// A task as orders name it: `JOB.OCCURRENCE.STEP.INDEX`.
struct task_name {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// Reads a name, or nothing when the text is none.
std::optional<task_name> parseTaskName(std::string_view);

/// Returns the name as orders have it.
std::string toText(const task_name&);

} // namespace chervilport::soak
