#pragma once

#include <cstdint>

namespace chervilport {

/// Number of an instance, from 1; unique in the cluster and set in the settings of the instance.
enum class member_id : std::uint64_t {};

} // namespace chervilport
