#include "tests/soak/task_name.h"

#include <array>
#include <charconv>

namespace chervilport::soak {

std::optional<task_name> parseTaskName(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    task_name name;
    name.job = std::string(text.substr(0, dot));
    const std::array<std::uint32_t*, 3> numbers { &name.occurrence, &name.step, &name.index };
    const auto* position = text.data() + dot;
    const auto* const end = text.data() + text.size();
    for (auto* const number : numbers) {
        if (position == end || *position != '.')
            return std::nullopt;
        const auto read = std::from_chars(position + 1, end, *number);
        if (read.ec != std::errc())
            return std::nullopt;
        position = read.ptr;
    }
    return position == end ? std::optional(name) : std::nullopt;
}

std::string toText(const task_name& name)
{
    return name.job + '.' + std::to_string(name.occurrence) + '.' + std::to_string(name.step) + '.'
        + std::to_string(name.index);
}

} // namespace chervilport::soak
