#include "chervilport/control/node_address.h"

#include "chervilport/core/chervilport_error.h"

#include <asio/ip/address_v4.hpp>
#include <string>

namespace chervilport {

namespace {

    constexpr unsigned portBits = 16;
    constexpr unsigned incarnationShift = 48;
    constexpr std::uint64_t portMask = 0xffff;
    constexpr std::uint64_t addressMask = 0xffff'ffff;

    std::uint64_t numberOf(std::string_view ip, std::uint16_t port)
    {
        std::error_code error;
        const auto address = asio::ip::make_address_v4(std::string(ip), error);
        if (error)
            throw chervilport_error(error_kind::InvalidRequest, std::string(ip) + " is not an IPv4 address");
        return (std::uint64_t { address.to_uint() } << portBits) | port;
    }

} // namespace

member_id memberAt(std::string_view ip, std::uint16_t port) { return member_id { numberOf(ip, port) }; }

peer_address addressOf(member_id id)
{
    const auto number = static_cast<std::uint64_t>(id);
    const asio::ip::address_v4 address(
        static_cast<asio::ip::address_v4::uint_type>((number >> portBits) & addressMask));
    return { id, address.to_string(), static_cast<std::uint16_t>(number & portMask) };
}

member_id statelessMember(std::string_view ip, std::uint16_t port, std::uint16_t incarnation)
{
    // Incarnation 0 marks an instance with state, so make it nonzero.
    const auto marked = std::uint64_t { incarnation } | 1U;
    return member_id { numberOf(ip, port) | (marked << incarnationShift) };
}

bool isStateless(member_id id) { return (static_cast<std::uint64_t>(id) >> incarnationShift) != 0; }

std::vector<member_id> idsOf(std::span<const peer_address> instances)
{
    std::vector<member_id> ids;
    ids.reserve(instances.size());
    for (const auto& each : instances)
        ids.push_back(each.id);
    return ids;
}

std::vector<peer_address> addressesOf(std::span<const member_id> ids)
{
    std::vector<peer_address> instances;
    instances.reserve(ids.size());
    for (const auto id : ids)
        instances.push_back(addressOf(id));
    return instances;
}

} // namespace chervilport
