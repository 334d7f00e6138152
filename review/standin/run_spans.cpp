#include "review/standin/run_spans.h"

#include <algorithm>

namespace review {

bool hasOverlap(const std::vector<run_event>& events, const std::string& task, record& output)
{
    std::vector<run_event> atWork;
    bool overlaps = false;
    for (const auto& each : events) {
        if (each.task != task)
            continue;
        if (each.what != "start") {
            std::erase_if(atWork,
                [&](const run_event& started) { return started.executor == each.executor && started.run == each.run; });
            continue;
        }
        for (const auto& earlier : atWork) {
            output.line(task + " run " + std::to_string(each.run) + " began on " + each.executor + " while run "
                + std::to_string(earlier.run) + " was at work on " + earlier.executor);
            overlaps = true;
        }
        atWork.push_back(each);
    }
    return overlaps;
}

} // namespace review
