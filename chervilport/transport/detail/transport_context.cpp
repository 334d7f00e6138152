#include "chervilport/transport/detail/transport_context.h"

#include <algorithm>

namespace chervilport {

bool transport_context::recordIncarnation(member_id peer, std::uint64_t incarnation)
{
    auto& highest = incarnations[peer];
    if (incarnation < highest)
        return false;
    highest = incarnation;
    return true;
}

void transport_context::log(const std::string& text) const
{
    if (callbacks.onLog)
        callbacks.onLog(text);
}

bool equalsInConstantTime(std::string_view expected, std::string_view given)
{
    // The accumulator is volatile so that the loop has no early exit.
    volatile unsigned difference = expected.size() == given.size() ? 0U : 1U;
    for (std::size_t i = 0; i < given.size(); ++i) {
        const char other = expected.empty() ? '\0' : expected[i % expected.size()];
        difference = difference | static_cast<unsigned char>(given[i] ^ other);
    }
    return difference == 0;
}

std::string nameOf(member_id peer) { return "instance " + std::to_string(static_cast<std::uint64_t>(peer)); }

} // namespace chervilport
