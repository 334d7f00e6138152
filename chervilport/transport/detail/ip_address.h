#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <string_view>

namespace chervilport {

/// Throws chervilport_error `InvalidRequest` unless the text is an IPv4 or IPv6 number.
void requireNumericIp(std::string_view ip);

/// Returns the address of an IP number without any name lookup. Throws as `requireIpNumber`.
kj::Own<kj::NetworkAddress> networkAddressOf(kj::Network&, std::string_view ip, std::uint16_t port);

} // namespace chervilport
