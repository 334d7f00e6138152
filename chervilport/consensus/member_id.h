#pragma once

#include <cstdint>

namespace chervilport {

/// Number of an instance, unique in the cluster and given in its settings, from 1.
enum class member_id : std::uint64_t {};

} // namespace chervilport
