#include "chervilport/requests/announcement_codec.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/core/json_nesting.h"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    using json = nlohmann::json;

    constexpr std::size_t maxTextBytes = 128;
    /// An announcement is a flat object.
    constexpr std::size_t maxDepth = 4;
    constexpr std::int64_t maxSlots = 4096;
    constexpr std::int64_t maxConnections = 65536;
    constexpr std::array<std::string_view, 3> stateNames = { "ready", "leaving", "gone" };

    [[noreturn]] void refuse(std::string_view member, std::string_view reason)
    {
        throw chervilport_error(
            error_kind::InvalidRequest, std::string(member) + " of the announcement " + std::string(reason));
    }

    std::string readText(const json& document, const char* member)
    {
        const auto found = document.find(member);
        if (found == document.end() || !found->is_string())
            refuse(member, "must be a string");
        auto text = found->get<std::string>();
        if (text.empty() || text.size() > maxTextBytes)
            refuse(member, "has " + std::to_string(text.size()) + " bytes; must have 1 to 128");
        return text;
    }

    std::int64_t readInteger(const json& document, const char* member, std::int64_t smallest, std::int64_t largest)
    {
        const auto found = document.find(member);
        if (found == document.end() || !found->is_number_integer())
            refuse(member, "must be a whole number");
        const auto isTooLarge = found->is_number_unsigned()
            && found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (isTooLarge || found->get<std::int64_t>() < smallest || found->get<std::int64_t>() > largest)
            refuse(member,
                "is " + found->dump() + "; must be from " + std::to_string(smallest) + " to "
                    + std::to_string(largest));
        return found->get<std::int64_t>();
    }

    upstream_state readState(const json& document)
    {
        const auto name = readText(document, "state");
        const auto* const found = std::find(stateNames.begin(), stateNames.end(), name);
        if (found == stateNames.end())
            refuse("state", "must be ready, leaving or gone, not " + name);
        return static_cast<upstream_state>(found - stateNames.begin());
    }

} // namespace

upstream_announcement parseExecutorAnnouncement(std::string_view body)
{
    constexpr auto largest = std::numeric_limits<std::int64_t>::max();
    if (isNestedDeeperThan(body, maxDepth))
        throw chervilport_error(error_kind::InvalidRequest, "the announcement is nested too deeply");
    const auto document = json::parse(body.begin(), body.end(), nullptr, false);
    if (!document.is_object())
        throw chervilport_error(error_kind::InvalidRequest, "the announcement must be a JSON object");
    if (readText(document, "kind") != "executor")
        refuse("kind", "must be executor");
    upstream_announcement announcement;
    announcement.id.address = readText(document, "address");
    announcement.id.incarnation = static_cast<std::uint64_t>(readInteger(document, "incarnation", 1, largest));
    announcement.sequence = static_cast<std::uint64_t>(readInteger(document, "sequence", 1, largest));
    announcement.state = readState(document);
    announcement.kind = upstream_kind::Executor;
    announcement.failureDomain = readText(document, "failure_domain");
    announcement.service = readText(document, "service");
    announcement.slots = static_cast<std::int32_t>(readInteger(document, "slots", 0, maxSlots));
    announcement.connections = static_cast<std::int32_t>(readInteger(document, "connections", 0, maxConnections));
    return announcement;
}

std::string formatExecutorAnnouncement(const upstream_announcement& announcement)
{
    const json document { { "address", announcement.id.address }, { "kind", "executor" },
        { "failure_domain", announcement.failureDomain }, { "incarnation", announcement.id.incarnation },
        { "sequence", announcement.sequence }, { "state", stateNames.at(static_cast<std::size_t>(announcement.state)) },
        { "service", announcement.service }, { "slots", announcement.slots },
        { "connections", announcement.connections } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace chervilport
