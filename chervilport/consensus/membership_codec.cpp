#include "chervilport/consensus/membership_codec.h"

#include "chervilport/core/chervilport_error.h"

#include <cstddef>
#include <cstdint>

namespace chervilport {

namespace {

    constexpr std::size_t numberBytes = 8;
    constexpr std::uint64_t hasDiskFlag = 1;
    constexpr std::uint64_t promoteFlag = 2;
    constexpr std::size_t memberBytes = 3 * numberBytes;

    void putNumber(std::string& out, std::uint64_t value)
    {
        for (std::size_t byte = 0; byte < numberBytes; ++byte)
            out.push_back(static_cast<char>((value >> (8 * byte)) & 0xff));
    }

    std::uint64_t takeNumber(std::string_view& in)
    {
        if (in.size() < numberBytes)
            throw chervilport_error(error_kind::StorageFailure,
                "encoded membership is truncated: " + std::to_string(in.size()) + " bytes left for a number of "
                    + std::to_string(numberBytes));
        std::uint64_t value = 0;
        for (std::size_t byte = 0; byte < numberBytes; ++byte)
            value |= std::uint64_t { static_cast<unsigned char>(in[byte]) } << (8 * byte);
        in.remove_prefix(numberBytes);
        return value;
    }

    void putMembers(std::string& out, const std::vector<member>& members)
    {
        putNumber(out, members.size());
        for (const auto& entry : members) {
            putNumber(out, static_cast<std::uint64_t>(entry.id));
            putNumber(out, entry.incarnation);
            putNumber(out, (entry.hasDisk ? hasDiskFlag : 0) | (entry.promoteWhenCaughtUp ? promoteFlag : 0));
        }
    }

    std::vector<member> takeMembers(std::string_view& in)
    {
        const auto count = takeNumber(in);
        if (count > in.size() / memberBytes)
            throw chervilport_error(error_kind::StorageFailure,
                "encoded membership is truncated: " + std::to_string(in.size()) + " bytes left for "
                    + std::to_string(count) + " members");
        std::vector<member> members;
        for (std::uint64_t i = 0; i < count; ++i) {
            member entry { static_cast<member_id>(takeNumber(in)), takeNumber(in) };
            const auto flags = takeNumber(in);
            entry.hasDisk = (flags & hasDiskFlag) != 0;
            entry.promoteWhenCaughtUp = (flags & promoteFlag) != 0;
            members.push_back(entry);
        }
        return members;
    }

} // namespace

std::string encodeMembership(const membership& members)
{
    std::string out;
    putMembers(out, members.voters);
    putMembers(out, members.learners);
    return out;
}

membership decodeMembership(std::string_view in)
{
    membership members;
    members.voters = takeMembers(in);
    members.learners = takeMembers(in);
    if (!in.empty())
        throw chervilport_error(
            error_kind::StorageFailure, "encoded membership has " + std::to_string(in.size()) + " trailing bytes");
    return members;
}

} // namespace chervilport
