#include "chervilport/instance/executor_announcement.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/json_reader.h"
#include "chervilport/settings/settings_reader.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::int64_t maxSlots = 10'000;
    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();

    upstream_state readState(json_reader& reader)
    {
        const auto state = reader.text("state", maxNameBytes, "ready");
        if (state == "ready")
            return upstream_state::Ready;
        if (state == "leaving")
            return upstream_state::Leaving;
        if (state == "gone")
            return upstream_state::Gone;
        throw chervilport_error(error_kind::InvalidRequest, "state must be ready, leaving or gone");
    }

} // namespace

upstream_announcement parseExecutorAnnouncement(std::string_view body)
{
    const auto document = parseJsonObject(body);
    json_reader reader(document, "");
    upstream_announcement announcement;
    reader.requiredText("kind", maxNameBytes);
    announcement.id.address = reader.requiredText("address", maxNameBytes);
    if (!isIpAddressAndPort(announcement.id.address))
        throw chervilport_error(error_kind::InvalidRequest, "address must be an IP address and a port");
    announcement.id.incarnation = static_cast<std::uint64_t>(reader.integer("incarnation", 1, maxInteger, 1));
    announcement.sequence = static_cast<std::uint64_t>(reader.integer("sequence", 0, maxInteger, 0));
    announcement.state = readState(reader);
    announcement.kind = upstream_kind::Executor;
    announcement.failureDomain = reader.requiredText("failure_domain", maxNameBytes);
    announcement.service = reader.requiredText("service", maxNameBytes);
    announcement.slots = static_cast<std::int32_t>(reader.integer("slots", 0, maxSlots, 1));
    announcement.connections
        = static_cast<std::int32_t>(reader.integer("connections", 0, maxSlots, announcement.slots));
    reader.refuseUnknown();
    return announcement;
}

} // namespace chervilport
