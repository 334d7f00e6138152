#include "chervilport/control/leader_epoch.h"

#include <criterion/criterion.h>

using namespace chervilport;

// Guards against requests of a leader that a worker refuses because an earlier leader used many epochs.
Test(leaderEpoch, tokensOfALaterTermAreAboveAllEpochsOfAnEarlierOne)
{
    const auto manyEpochs = valueOf({ 7, ~std::uint64_t { 0 } });
    cr_assert_lt(valueOf({ 7, 1 }), valueOf({ 7, 2 }));
    cr_assert_lt(valueOf({ 7, 2 }), manyEpochs);
    cr_assert_lt(manyEpochs, valueOf({ 8, 0 }));
}

// Guards against a token that a JSON reader rounds.
Test(leaderEpoch, isExactInJsonForMillionsOfTerms)
{
    constexpr std::uint64_t maxExactInteger = std::uint64_t { 1 } << 53;
    cr_assert_leq(valueOf({ 8'000'000, ~std::uint64_t { 0 } }), maxExactInteger);
}
