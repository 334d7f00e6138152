#include "tests/scheduling/fake_domain.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/scheduling/event_codec.h"

#include <criterion/criterion.h>

using namespace chervilport;
using namespace chervilport::scheduling_tests;

namespace {

std::vector<event> sampleEvents()
{
    auto spec = gangOf(3, adjacency::Rack);
    spec.team = "blue";
    spec.clientKey = std::string("key\xff\0x", 6);
    spec.deadline = log_time(std::chrono::hours(-1));
    const task_id task { static_cast<job_id>(~0ULL), 2, 1 };
    const workspace_config workspace { "main", { { 2, 16, spec.perTask, adjacency::AdjacentRacks } }, 7,
        { { "blue", 9 } } };
    return { configuration_changed { ~0ULL, { workspace }, {} }, job_submitted { spec }, job_cancelled { task.job },
        worker_joined { "w", 5, "rack", -3, workerCapacity, { task } }, worker_leaving { "w" }, worker_lost { "w" },
        task_started { "w", task }, task_ended { "w", task, true }, task_stopped { "w", task, true },
        usage_reported { "w", task, { 1, 2, 3 }, log_time(std::chrono::hours(1)) }, timer_fired {} };
}

template <typename Function> bool throwsStorageFailure(const Function& function)
{
    try {
        function();
    } catch (const chervilport_error& error) {
        return error.kind() == error_kind::StorageFailure;
    }
    return false;
}

} // namespace

// Guards against a field that is lost or changed by encoding and decoding.
Test(codec, eventsRoundTrip)
{
    const auto events = sampleEvents();
    cr_assert_eq(events.size(), std::variant_size_v<event>);
    for (std::size_t i = 0; i < events.size(); ++i) {
        cr_assert_eq(events[i].index(), i);
        const auto bytes = encodeEvent(events[i]);
        const auto decoded = decodeEvent(bytes);
        cr_assert_eq(decoded.index(), i);
        cr_assert(encodeEvent(decoded) == bytes);
    }
    const auto submitted = std::get<job_submitted>(decodeEvent(encodeEvent(events[1])));
    cr_assert(submitted.spec == std::get<job_submitted>(events[1]).spec);
    const auto joined = std::get<worker_joined>(decodeEvent(encodeEvent(events[3])));
    cr_assert(joined.rackPosition == -3 && joined.tasks == std::get<worker_joined>(events[3]).tasks);
}

// Guards against damaged bytes that are accepted as an event.
Test(codec, damagedEventsAreRejected)
{
    for (const auto& sample : sampleEvents()) {
        const auto bytes = encodeEvent(sample);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            cr_assert(throwsStorageFailure([&] { decodeEvent(std::string_view(bytes).substr(0, length)); }));
        cr_assert(throwsStorageFailure([&] { decodeEvent(bytes + '\0'); }));
    }
    cr_assert(throwsStorageFailure([] { decodeEvent("not an event"); }));
}

// Guards against a damaged snapshot that is accepted as a state.
Test(codec, damagedStatesAreRejected)
{
    fake_domain domain;
    domain.configure({ { .name = "main", .guarantee = { { 1, 4, gangOf(1).perTask, adjacency::Rack } } } });
    domain.joinFleet(1, 2);
    domain.submit(gangOf(4));
    domain.submit(gangOf(16));
    const auto bytes = encodeState(*domain.state);
    cr_assert(encodeState(*decodeState(bytes)) == bytes);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        cr_assert(throwsStorageFailure([&] { decodeState(std::string_view(bytes).substr(0, length)); }));
}

// Guards against records of ended jobs that grow without bound.
Test(codec, endedJobsAreBounded)
{
    fake_domain domain;
    domain.configure({ { .name = "main" } });
    domain.joinFleet(1, 1);
    auto spec = gangOf(1);
    for (auto i = 0; i < 4200; ++i) {
        spec.clientKey = "key" + std::to_string(i);
        domain.apply(job_cancelled { domain.submit(spec) });
        domain.confirmAll();
    }
    cr_assert_eq(listJobs(*domain.state, "main", 10'000).size(), 4096);
    cr_assert_not(findJob(*domain.state, static_cast<job_id>(1)).has_value());
    cr_assert_lt(encodeState(*domain.state).size(), 1'000'000);
}
