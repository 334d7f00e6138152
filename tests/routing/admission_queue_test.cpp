#include "chervilport/routing/admission_queue.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <set>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

admission_entry makeEntry(std::uint64_t id, const std::string& workspace, log_time deadline = log_time(1h))
{
    return { id, workspace, request_class::Standard, deadline, {} };
}

} // namespace

// Guards against a request that is lost in the queue or removed twice, and against a queue that exceeds its maximum
// length.
Test(admissionQueue, removesEachRequestOnce)
{
    cr_assert(rc::check([] {
        admission_queue queue;
        queue.settings.maxLength = 8;
        std::set<std::uint64_t> waiting;
        log_time now(1s);
        const auto leave = [&](std::uint64_t id) { RC_ASSERT(waiting.erase(id) == 1U); };
        for (std::uint64_t id = 1; id < 100; ++id) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            auto entry = makeEntry(id, *rc::gen::element<std::string>("a", "b", "c"), now + 2s);
            entry.priority = *rc::gen::element(request_class::Urgent, request_class::Standard, request_class::Batch);
            const auto offer = offerRequest(queue, entry, now);
            if (offer.isAdmitted)
                waiting.insert(id);
            else
                RC_ASSERT(offer.retryAfter >= 1s);
            if (offer.displaced)
                leave(*offer.displaced);
            for (const auto& expired : removeExpired(queue, now))
                leave(expired.id);
            if (*rc::gen::inRange(0, 3) == 0) {
                if (const auto taken = takeRequest(queue, now))
                    leave(taken->id);
            }
            if (!waiting.empty() && *rc::gen::inRange(0, 8) == 0) {
                const auto id2 = *waiting.begin();
                RC_ASSERT(removeRequest(queue, id2));
                RC_ASSERT(!removeRequest(queue, id2));
                leave(id2);
            }
            RC_ASSERT(queue.length == waiting.size());
            RC_ASSERT(queue.length <= 8U);
        }
    }));
}

// Guards against a workspace with many requests that excludes another one from the queue or from the slots.
Test(admissionQueue, isFairBetweenWorkspacesUnderOverload)
{
    admission_queue queue;
    queue.settings.maxLength = 20;
    std::uint64_t id = 0;
    std::map<std::string, int> taken;
    for (int round = 0; round < 400; ++round) {
        const log_time now(std::chrono::milliseconds(10 * round));
        for (int i = 0; i < 5; ++i)
            offerRequest(queue, makeEntry(++id, "large"), now);
        offerRequest(queue, makeEntry(++id, "small"), now);
        if (round >= 100)
            ++taken[takeRequest(queue, now)->workspace];
    }
    cr_assert(taken["small"] >= 145 && taken["small"] <= 155, "%d", taken["small"]);
}

// Guards against admitting requests that are expected to exceed their deadline in the queue.
Test(admissionQueue, refusesRequestsThatWouldExpire)
{
    admission_queue queue;
    log_time now(1s);
    for (std::uint64_t id = 1; id <= 20; ++id)
        cr_assert(offerRequest(queue, makeEntry(id, "a"), now).isAdmitted);
    for (int i = 0; i < 10; ++i) {
        now += 100ms;
        takeRequest(queue, now);
    }
    // Ten requests wait, and one is taken every 100 ms.
    const auto refused = offerRequest(queue, makeEntry(21, "a", now + 900ms), now);
    cr_assert_not(refused.isAdmitted);
    cr_assert(refused.retryAfter >= 1s && refused.retryAfter < 3s);
    cr_assert(offerRequest(queue, makeEntry(22, "a", now + 1200ms), now).isAdmitted);
    // Another workspace has its own turns and does not wait for the ten requests.
    cr_assert(offerRequest(queue, makeEntry(23, "b", now + 900ms), now).isAdmitted);
}

// Guards against urgent requests that wait behind others of their workspace, and against starvation of the other
// classes.
Test(admissionQueue, takesUrgentFirstWithoutStarvation)
{
    admission_queue queue;
    auto batch = makeEntry(1, "a");
    batch.priority = request_class::Batch;
    offerRequest(queue, batch, log_time(1s));
    for (std::uint64_t id = 2; id < 10; ++id) {
        auto urgent = makeEntry(id, "a");
        urgent.priority = request_class::Urgent;
        offerRequest(queue, urgent, log_time(2s));
    }
    cr_assert_eq(takeRequest(queue, log_time(3s))->id, 2);
    int turns = 1;
    while (takeRequest(queue, log_time(3s))->id != 1)
        ++turns;
    cr_assert_eq(turns, 3);
}
