#include "chervilport/instance/domain_command.h"

#include "chervilport/core/chervilport_error.h"

#include <cstddef>

namespace chervilport {

namespace {

    constexpr std::size_t numberBytes = 8;
    constexpr std::size_t prefixBytes = 1 + numberBytes;

    void appendNumber(std::string& bytes, std::uint64_t number)
    {
        for (std::size_t i = 0; i < numberBytes; ++i)
            bytes.push_back(static_cast<char>(number >> (8 * i) & 0xff));
    }

    std::uint64_t readNumber(std::string_view bytes)
    {
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < numberBytes; ++i)
            number |= std::uint64_t { static_cast<unsigned char>(bytes[i]) } << (8 * i);
        return number;
    }

    std::uint64_t ticksOf(log_time time) { return static_cast<std::uint64_t>(time.time_since_epoch().count()); }

    log_time timeOf(std::uint64_t ticks) { return log_time(log_duration(static_cast<std::int64_t>(ticks))); }

} // namespace

std::string encodeDomainCommand(const domain_command& command)
{
    std::string bytes;
    bytes.reserve(prefixBytes + command.content.size());
    bytes.push_back(static_cast<char>(command.kind));
    appendNumber(bytes, ticksOf(command.time));
    return bytes + command.content;
}

domain_command decodeDomainCommand(std::string_view bytes)
{
    if (bytes.size() < prefixBytes)
        throw chervilport_error(error_kind::StorageFailure,
            "log entry of " + std::to_string(bytes.size()) + " bytes is too short for a domain command");
    const auto kind = static_cast<domain_command_kind>(bytes[0]);
    if (kind != domain_command_kind::Scheduling && kind != domain_command_kind::Claim)
        throw chervilport_error(
            error_kind::StorageFailure, "log entry has the unknown kind " + std::to_string(static_cast<int>(kind)));
    return { kind, timeOf(readNumber(bytes.substr(1))), std::string(bytes.substr(prefixBytes)) };
}

std::string encodeDomainSnapshot(const domain_snapshot& snapshot)
{
    std::string bytes;
    bytes.reserve(2 * numberBytes + snapshot.schedule.size() + snapshot.claims.size());
    appendNumber(bytes, ticksOf(snapshot.time));
    appendNumber(bytes, snapshot.schedule.size());
    return bytes + snapshot.schedule + snapshot.claims;
}

domain_snapshot decodeDomainSnapshot(std::string_view bytes)
{
    if (bytes.size() < 2 * numberBytes)
        throw chervilport_error(
            error_kind::StorageFailure, "snapshot of " + std::to_string(bytes.size()) + " bytes is too short");
    const auto time = timeOf(readNumber(bytes));
    const auto scheduleBytes = readNumber(bytes.substr(numberBytes));
    const auto content = bytes.substr(2 * numberBytes);
    if (scheduleBytes > content.size())
        throw chervilport_error(error_kind::StorageFailure,
            "snapshot truncated: the schedule has " + std::to_string(content.size()) + " of "
                + std::to_string(scheduleBytes) + " bytes");
    return { time, std::string(content.substr(0, scheduleBytes)), std::string(content.substr(scheduleBytes)) };
}

} // namespace chervilport
