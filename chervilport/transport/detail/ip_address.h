#pragma once

#include <kj/async-io.h>

#include <cstdint>
#include <string_view>

namespace chervilport {

/// Throws chervilport_error `InvalidRequest` unless the text is a numeric IPv4 or IPv6 address.
void requireNumericIp(std::string_view ip);

/// Returns the network address without a name lookup. Throws as `requireNumericIp`.
kj::Own<kj::NetworkAddress> networkAddressOf(kj::Network&, std::string_view ip, std::uint16_t port);

} // namespace chervilport
