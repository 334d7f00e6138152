#pragma once

#include <cstdint>
#include <string_view>

namespace chervilport {

/// What an error response says about the execution of the request or job.
enum class run_outcome : std::uint8_t {
    /// It was not run and will not be run, not even in part.
    NotRun,
    /// It was run.
    Run,
    /// It may have been run.
    Unknown,
};

/// Returns the JSON name: `not_run`, `run` or `unknown`.
std::string_view toString(run_outcome);

} // namespace chervilport
