#pragma once

#include <cstdint>

namespace chervilport {

/// Number of a job, unique within its home domain and assigned by the decision core in order of acceptance from 1.
enum class job_id : std::uint64_t {};

} // namespace chervilport
