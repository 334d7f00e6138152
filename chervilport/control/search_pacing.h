#pragma once

#include "chervilport/core/log_time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace chervilport {

/// Questions that all searching instances together ask per second, at most, apart from the first one of each.
inline constexpr std::int64_t maxSearchRate = 500;

/// Pauses between the questions of one instance that searches for the leader. It asks one member at a time. The members
/// say how long to wait, by the number of instances that may search, so that the group has time for its own election.
struct search_pacing {
    explicit search_pacing(std::uint32_t seed)
        : random(seed)
    {
    }

    /// Mean pause, as a member said last.
    log_duration pause = std::chrono::milliseconds(50);
    /// Earliest time of the next question.
    log_time next;
    /// Number of questions so far; selects the member to ask.
    std::size_t questions = 0;
    std::mt19937 random;
};

/// Returns the mean pause between two questions of one instance when this many instances may search.
log_duration searchPauseFor(std::size_t instances);

/// Returns whether a question is due, and schedules the next one with jitter.
bool takeQuestion(search_pacing&, log_time now);

} // namespace chervilport
