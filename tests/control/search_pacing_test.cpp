#include "chervilport/control/search_pacing.h"

#include <criterion/criterion.h>
#include <vector>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

constexpr auto tick = 100ms;
/// Members of the group of which one is asked at a time.
constexpr std::size_t members = 3;

/// Returns the most questions that all instances together ask in a second while they search for a minute. They have
/// been told the pause for their number.
std::size_t busiestSecond(std::size_t instances)
{
    std::vector<search_pacing> searches;
    for (std::size_t i = 0; i < instances; ++i) {
        searches.emplace_back(static_cast<std::uint32_t>(i + 1));
        searches.back().pause = searchPauseFor(instances);
    }
    std::size_t busiest = 0;
    log_time now { 1h };
    // The first question of each instance comes at once, since it has just lost its leader.
    for (auto& search : searches)
        takeQuestion(search, now);
    for (int second = 0; second < 60; ++second) {
        std::size_t questions = 0;
        for (int i = 0; i < 10; ++i) {
            now += tick;
            for (auto& search : searches) {
                for (std::size_t j = 0; j < members && takeQuestion(search, now); ++j)
                    ++questions;
            }
        }
        busiest = std::max(busiest, questions);
    }
    return busiest;
}

} // namespace

// Guards against a group that cannot elect a leader because all instances that lost it ask all members over and over:
// the questions of the whole site stay below the stated rate, with the jitter of a second.
Test(searchPacing, questionsOfALargeSiteAreBounded)
{
    constexpr auto bound = static_cast<std::size_t>(maxSearchRate) * 3 / 2;
    cr_assert_leq(busiestSecond(300), bound);
    cr_assert_leq(busiestSecond(1'000), bound);
}

// Guards against a small site that finds its new leader late: every member is asked within a tenth of a second.
Test(searchPacing, smallSiteAsksAllMembersAtOnce)
{
    search_pacing search(1);
    search.pause = searchPauseFor(9);
    std::size_t questions = 0;
    log_time now { 1h };
    for (int i = 0; i < 10; ++i, now += tick) {
        for (std::size_t j = 0; j < members && takeQuestion(search, now); ++j)
            ++questions;
    }
    cr_assert_geq(questions, 15);
}
