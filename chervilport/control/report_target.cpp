#include "chervilport/control/report_target.h"

#include <cstdint>

namespace chervilport {

namespace {

    /// FNV-1a, as std::hash may differ between two versions of the program in one group.
    constexpr std::uint64_t hashBasis = 14'695'981'039'346'656'037U;
    constexpr std::uint64_t hashPrime = 1'099'511'628'211U;
    constexpr std::uint64_t mixFactor = 0xff51'afd7'ed55'8ccdU;
    constexpr int mixShift = 33;

    std::uint64_t mixed(std::uint64_t value)
    {
        value ^= value >> mixShift;
        value *= mixFactor;
        return value ^ (value >> mixShift);
    }

    std::uint64_t weightOf(std::string_view worker, member_id member)
    {
        auto hash = hashBasis;
        for (const char each : worker)
            hash = (hash ^ static_cast<unsigned char>(each)) * hashPrime;
        return mixed(hash ^ mixed(static_cast<std::uint64_t>(member)));
    }

} // namespace

std::optional<member_id> reportMemberOf(std::string_view worker, std::span<const member_id> members)
{
    std::optional<member_id> chosen;
    std::uint64_t highest = 0;
    for (const auto member : members) {
        const auto weight = weightOf(worker, member);
        if (chosen && weight <= highest)
            continue;
        chosen = member;
        highest = weight;
    }
    return chosen;
}

} // namespace chervilport
