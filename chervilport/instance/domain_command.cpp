#include "chervilport/instance/domain_command.h"

#include "chervilport/core/chervilport_error.h"

#include <cstddef>

namespace chervilport {

namespace {

    constexpr std::size_t timeBytes = 8;
    constexpr std::size_t prefixBytes = 1 + timeBytes;

} // namespace

std::string encodeDomainCommand(const domain_command& command)
{
    std::string bytes;
    bytes.reserve(prefixBytes + command.content.size());
    bytes.push_back(static_cast<char>(command.kind));
    const auto ticks = static_cast<std::uint64_t>(command.time.time_since_epoch().count());
    for (std::size_t i = 0; i < timeBytes; ++i)
        bytes.push_back(static_cast<char>(ticks >> (8 * i) & 0xff));
    return bytes + command.content;
}

domain_command decodeDomainCommand(std::string_view bytes)
{
    if (bytes.size() < prefixBytes)
        throw chervilport_error(error_kind::StorageFailure, "log entry is too short to be a domain command");
    const auto kind = static_cast<domain_command_kind>(bytes[0]);
    if (kind != domain_command_kind::Scheduling && kind != domain_command_kind::Claim)
        throw chervilport_error(error_kind::StorageFailure, "log entry is of an unknown kind");
    std::uint64_t ticks = 0;
    for (std::size_t i = 0; i < timeBytes; ++i)
        ticks |= std::uint64_t { static_cast<unsigned char>(bytes[1 + i]) } << (8 * i);
    return { kind, log_time(log_duration(static_cast<std::int64_t>(ticks))), std::string(bytes.substr(prefixBytes)) };
}

} // namespace chervilport
