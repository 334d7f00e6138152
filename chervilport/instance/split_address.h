#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervilport {

/// An IP address and a port.
struct ip_and_port {
    /// IP address without brackets.
    std::string ip;
    /// TCP port.
    std::uint16_t port = 0;
};

/// Splits text that the settings reader accepted as an IP address and port. Throws chervilport_error of kind
/// InvalidRequest on other text.
ip_and_port splitAddress(std::string_view text);

} // namespace chervilport
