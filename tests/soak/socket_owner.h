#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <sys/types.h>

namespace chervilport::soak {

/// Returns which of the given processes holds the TCP socket that connects the local port to the remote port, or
/// nothing when none does. Reads /proc/net/tcp and the descriptors of the given processes only.
std::optional<pid_t> findSocketOwner(std::span<const pid_t>, std::uint16_t localPort, std::uint16_t remotePort);

} // namespace chervilport::soak
