#include "chervilport/transport/detail/ip_address.h"

#include "chervilport/core/chervilport_error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>

namespace chervilport {

namespace {

    /// A socket address of either family.
    struct socket_address {
        sockaddr_in v4 {};
        sockaddr_in6 v6 {};
        bool isV6 = false;
    };

    socket_address parse(std::string_view ip, std::uint16_t port)
    {
        const std::string text(ip);
        socket_address result;
        if (::inet_pton(AF_INET, text.c_str(), &result.v4.sin_addr) == 1) {
            result.v4.sin_family = AF_INET;
            result.v4.sin_port = htons(port);
            return result;
        }
        if (::inet_pton(AF_INET6, text.c_str(), &result.v6.sin6_addr) == 1) {
            result.v6.sin6_family = AF_INET6;
            result.v6.sin6_port = htons(port);
            result.isV6 = true;
            return result;
        }
        throw chervilport_error(error_kind::InvalidRequest, "'" + text + "' is not a numeric IP address");
    }

} // namespace

void requireNumericIp(std::string_view ip) { parse(ip, 0); }

kj::Own<kj::NetworkAddress> networkAddressOf(kj::Network& network, std::string_view ip, std::uint16_t port)
{
    const auto address = parse(ip, port);
    if (address.isV6)
        return network.getSockaddr(&address.v6, sizeof(address.v6));
    return network.getSockaddr(&address.v4, sizeof(address.v4));
}

} // namespace chervilport
