#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <sys/types.h>

namespace chervilport::soak {

/// Returns which of the given processes holds the TCP socket with the local port that is connected to the remote one,
/// or nothing when none does. Reads only what the kernel shows of processes that the soak started.
std::optional<pid_t> findSocketOwner(std::span<const pid_t>, std::uint16_t localPort, std::uint16_t remotePort);

} // namespace chervilport::soak
