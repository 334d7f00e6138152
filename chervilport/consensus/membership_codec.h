#pragma once

#include "chervilport/consensus/membership.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes a membership as the payload of a `Membership` entry: counts and numbers as 8 bytes, little-endian.
std::string encodeMembership(const membership&);

/// Decodes the output of `encodeMembership`. Throws `StorageFailure` when the bytes are malformed.
membership decodeMembership(std::string_view);

} // namespace chervilport
