#include "chervilport/routing/retry_budget.h"
#include "chervilport/routing/upstream_choice.h"
#include "chervilport/routing/upstream_health.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

// Ten executors, some of which fail every request immediately; requests are sent one at a time.
struct simulated_service {
    health_table table;
    std::vector<int> sent = std::vector<int>(10);
    log_time now = log_time(1s);

    std::size_t ejected() const
    {
        std::size_t count = 0;
        for (std::uint64_t i = 0; i < sent.size(); ++i)
            count += isEjected(table, { "u", i }) ? 1U : 0U;
        return count;
    }

    // Sends one request; upstreams with an index below `failing` fail it.
    void step(std::uint64_t failing, std::uint64_t seed)
    {
        std::vector<upstream_candidate> candidates;
        for (std::uint64_t i = 0; i < sent.size(); ++i) {
            const upstream_id id { "u", i };
            if (maySend(table, id, true, now))
                candidates.push_back({ id, 8, i < failing ? 0 : 4, loadFactor(table, id, now), isEjected(table, id) });
        }
        const auto chosen = chooseUpstream(candidates, seed);
        if (!chosen)
            return;
        const auto id = candidates[*chosen].id;
        recordSend(table, id, now);
        ++sent[id.incarnation];
        const auto end = id.incarnation < failing ? attempt_result::ErrorResponse : attempt_result::Success;
        recordAttempt(table, id, end, ejected(), sent.size(), now);
        now += 10ms;
    }
};

} // namespace

// Guards against an executor that fails every request immediately and attracts the load of the others, because its
// slots are always free.
Test(upstreamHealth, fastFailureDoesNotAttractLoad)
{
    simulated_service run;
    for (std::uint64_t i = 0; i < 10000; ++i)
        run.step(1, i);
    // In 100 s: five failures before the ejection, then probes at intervals of 2, 4, 8, 16, 30 and 30 s.
    cr_assert_leq(run.sent[0], 12);
    cr_assert(isEjected(run.table, { "u", 0 }));
}

// Guards against an executor that stays ejected after it has recovered.
Test(upstreamHealth, recoveredUpstreamReturns)
{
    simulated_service run;
    for (std::uint64_t i = 0; i < 10000; ++i)
        run.step(1, i);
    cr_assert(isEjected(run.table, { "u", 0 }));
    for (std::uint64_t i = 0; i < 10000; ++i)
        run.step(0, i);
    cr_assert_not(isEjected(run.table, { "u", 0 }));
}

// Guards against ejecting most executors when the service itself or its requests are faulty.
Test(upstreamHealth, neverEjectsMoreThanMaxRatio)
{
    cr_assert(rc::check([] {
        simulated_service run;
        const auto failing = *rc::gen::inRange<std::uint64_t>(5, 11);
        for (std::uint64_t i = 0; i < 2000; ++i) {
            run.step(failing, i);
            RC_ASSERT(run.ejected() <= 5U);
        }
    }));
}

// Guards against a non-idempotent request that is used as a probe while idempotent requests could be.
Test(upstreamHealth, probesPreferIdempotentRequests)
{
    health_table table;
    const upstream_id id { "u", 1 };
    for (int i = 0; i < 5; ++i)
        recordAttempt(table, id, attempt_result::ConnectError, 0, 2, log_time(1s));
    cr_assert(isEjected(table, id));
    cr_assert_not(maySend(table, id, true, log_time(2s)));
    cr_assert(maySend(table, id, true, log_time(3s)));
    cr_assert_not(maySend(table, id, false, log_time(3s)));
    cr_assert(maySend(table, id, false, log_time(33s)));
    recordSend(table, id, log_time(3s));
    cr_assert_not(maySend(table, id, true, log_time(4s)));
    // A refusal shows that the upstream has no free slot, not that it is unhealthy.
    recordAttempt(table, id, attempt_result::Refused, 1, 2, log_time(4s));
    cr_assert(maySend(table, id, true, log_time(6s)));
}

// Guards against choosing a full upstream, or one that is more loaded than another.
Test(upstreamChoice, takesLeastLoadedWithFreeSlot)
{
    cr_assert(rc::check([] {
        std::vector<upstream_candidate> candidates;
        const auto count = *rc::gen::inRange(0, 6);
        candidates.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            candidates.push_back({ { "u", 1 }, *rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9) });
        const auto load = [](const auto& some) { return double(some.inUse + 1) / some.share; };
        const auto chosen = chooseUpstream(candidates, *rc::gen::arbitrary<std::uint64_t>());
        for (const auto& candidate : candidates) {
            if (candidate.inUse >= candidate.share)
                continue;
            RC_ASSERT(chosen.has_value());
            RC_ASSERT(candidates[*chosen].inUse < candidates[*chosen].share);
            RC_ASSERT(load(candidates[*chosen]) <= load(candidate));
        }
    }));
}

// Guards against all instances choosing the same of several equally loaded executors.
Test(upstreamChoice, seedDistributesEquallyLoadedUpstreams)
{
    const std::vector<upstream_candidate> candidates(4, upstream_candidate { { "u", 1 }, 8, 0 });
    std::vector<int> chosen(4);
    for (std::uint64_t seed = 0; seed < 4000; ++seed)
        ++chosen[*chooseUpstream(candidates, seed)];
    for (const auto count : chosen)
        cr_assert(count > 800 && count < 1200, "%d", count);
}

// Guards against retries that multiply the load while all attempts fail.
Test(retryBudget, limitsRetriesToRatioOfRequests)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        depositRetry(budget);
        while (withdrawRetry(budget))
            ++retries;
    }
    cr_assert(retries >= 118 && retries <= 120, "%d", retries);
}
