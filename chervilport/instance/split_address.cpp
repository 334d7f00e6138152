#include "chervilport/instance/split_address.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/settings/settings_reader.h"

#include <charconv>

namespace chervilport {

ip_and_port splitAddress(std::string_view text)
{
    if (!isIpAddressAndPort(text))
        throw chervilport_error(error_kind::InvalidRequest, std::string(text) + " is not an IP address and port");
    const auto colon = text.rfind(':');
    auto ip = text.substr(0, colon);
    if (ip.starts_with('['))
        ip = ip.substr(1, ip.size() - 2);
    ip_and_port result { std::string(ip), 0 };
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), result.port);
    return result;
}

} // namespace chervilport
