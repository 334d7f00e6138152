#include "tests/storage/fake_disk.h"
#include "tests/storage/log_model.h"

#include "chervilport/core/chervilport_error.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>

using namespace chervilport;

namespace {

/// Segment size in bytes that makes a new segment start after one or two records.
constexpr std::size_t smallSegment = 150;

/// Outcome of a run.
struct run_result {
    /// Whether the run ended with a crash.
    bool crashed = false;
    /// States that a later load may return: the acknowledged state, or a state of the call in progress.
    std::vector<persisted_state> allowed { {} };
};

/// Makes calls until the disk crashes. With `checkEach`, compares the log with the model after each call.
run_result run(fake_disk& disk, const std::vector<store_call>& calls, bool checkEach = false)
{
    run_result result;
    log_model model;
    try {
        data_folder data(disk.files(), "data", 7);
        log_store store(data, "domain", smallSegment);
        store.load();
        for (const auto& call : calls) {
            const auto parts = model.apply(call);
            result.allowed.insert(result.allowed.end(), parts.begin(), parts.end());
            applyCall(store, call);
            result.allowed = { model.state };
            cr_assert(!checkEach || areEqual(store.load(), model.state));
        }
    } catch (const simulated_crash&) {
        result.crashed = true;
    }
    return result;
}

/// Loads the log and returns its state, after checking that one more call can be made and loaded.
persisted_state reopen(fake_disk& disk)
{
    data_folder data(disk.files(), "data", 8);
    log_store store(data, "domain", smallSegment);
    auto found = store.load();
    const log_model before { found };
    log_model model { found };
    const store_call nextCall { hard_state { 99, member_id { 3 } }, std::nullopt, false,
        entriesFrom(model.last() + 1, 1, 99) };
    model.apply(nextCall);
    applyCall(store, nextCall);
    cr_assert(areEqual(store.load(), model.state));
    return found;
}

bool isAllowed(const run_result& result, const persisted_state& found)
{
    return std::any_of(result.allowed.begin(), result.allowed.end(),
        [&found](const persisted_state& each) { return areEqual(each, found); });
}

} // namespace

// Guards against a load that loses an acknowledged entry, returns one that was never written, or fails, after a crash
// at any operation.
Test(crash, every_point_and_every_outcome_keeps_what_was_acknowledged)
{
    const auto calls = exampleCalls();
    std::size_t points = 0;
    std::size_t outcomes = 0;
    for (bool crashed = true; crashed; ++points) {
        fake_disk disk;
        disk.crashAt = points;
        const auto result = run(disk, calls);
        crashed = result.crashed;
        for (const auto& state : disk.crashStates()) {
            ++outcomes;
            cr_assert(isAllowed(result, reopen(*state)), "crash at operation %zu", points);
        }
    }
    cr_log_info("crash points %zu, outcomes %zu", points, outcomes);
    cr_assert_gt(points, 80);
}

// Guards against data loss when a crash interrupts the recovery itself.
Test(crash, every_point_of_the_recovery_keeps_what_was_acknowledged)
{
    const auto calls = exampleCalls();
    std::size_t outcomes = 0;
    bool crashed = true;
    for (std::size_t point = 0; crashed; ++point) {
        fake_disk disk;
        disk.crashAt = point;
        const auto result = run(disk, calls);
        crashed = result.crashed;
        for (const auto& state : disk.crashStates()) {
            bool crashedAgain = true;
            for (std::size_t second = 0; crashedAgain; ++second) {
                fake_disk copy = *state;
                copy.crashAt = second;
                crashedAgain = false;
                try {
                    data_folder data(copy.files(), "data", 8);
                    log_store(data, "domain", smallSegment).load();
                } catch (const simulated_crash&) {
                    crashedAgain = true;
                }
                for (const auto& last : copy.crashStates()) {
                    ++outcomes;
                    cr_assert(isAllowed(result, reopen(*last)), "crash at operation %zu, then %zu", point, second);
                }
            }
        }
    }
    cr_log_info("outcomes %zu", outcomes);
}

// Guards against acknowledgements after a failed write or sync, and against a store that stays unusable after the disk
// works again.
Test(crash, every_failed_operation_stops_acknowledgements_until_loaded_again)
{
    const auto calls = exampleCalls();
    bool failed = true;
    for (std::size_t point = 0; failed; ++point) {
        fake_disk disk;
        data_folder data(disk.files(), "data", 7);
        log_store store(data, "domain", smallSegment);
        store.load();
        disk.failFrom = disk.operations + point;
        run_result result;
        log_model model;
        failed = false;
        for (const auto& call : calls) {
            const auto parts = model.apply(call);
            result.allowed.insert(result.allowed.end(), parts.begin(), parts.end());
            try {
                applyCall(store, call);
            } catch (const chervilport_error& error) {
                cr_assert(error.kind() == error_kind::StorageFailure);
                failed = true;
                break;
            }
            result.allowed = { model.state };
        }
        if (!failed)
            break;
        // The disk works again, but its state is unknown to the store.
        disk.failUntil = disk.operations;
        cr_assert_throw(applyCall(store, calls[0]), chervilport_error);
        cr_assert_throw(store.saveSnapshot(snapshotAt(99, 9)), chervilport_error);
        const auto found = store.load();
        cr_assert(isAllowed(result, found), "failure at operation %zu", point);
        // The state loaded after a failure is durable, even if all unsynced data is lost.
        for (const auto& state : disk.crashStates())
            cr_assert(areEqual(reopen(*state), found));
    }
}

// Guards against a log that is quarantined without a new incarnation: the other members would count on a member that
// has lost its vote.
Test(crash, quarantine_never_leaves_the_old_incarnation_without_its_log)
{
    bool crashed = true;
    for (std::size_t point = 0; crashed; ++point) {
        fake_disk disk;
        run(disk, exampleCalls());
        disk.crashAt = disk.operations + point;
        crashed = false;
        try {
            data_folder data(disk.files(), "data", 8);
            log_store::quarantine(data, "domain", 8);
        } catch (const simulated_crash&) {
            crashed = true;
        }
        for (const auto& state : disk.crashStates()) {
            data_folder data(state->files(), "data", 9);
            log_store store(data, "domain", smallSegment);
            const bool kept = store.load().hardState.term != 0;
            cr_assert(kept || data.incarnation() == 8);
            cr_assert(crashed || !kept);
        }
    }
}

namespace {

/// Returns a random call that is valid for the state of the model.
store_call anyCall(const log_model& model)
{
    store_call call;
    const auto term = model.state.hardState.term;
    if (*rc::gen::inRange(0, 3) == 0)
        call.hardState = hard_state { term + 1, member_id { *rc::gen::inRange<std::uint64_t>(1, 4) } };
    auto base = model.base();
    auto last = model.last();
    if (*rc::gen::inRange(0, 5) == 0) {
        call.isLocal = !call.hardState && last > base && *rc::gen::arbitrary<bool>();
        const auto limit = call.isLocal ? last + 1 : last + 4;
        const auto index = *rc::gen::inRange<std::uint64_t>(base + 1, limit + 1 > base + 2 ? limit : base + 2);
        const bool known = index <= last;
        const auto snapshotTerm = known && (call.isLocal || *rc::gen::arbitrary<bool>())
            ? model.state.entries[index - base - 1].term
            : term + 100;
        call.newSnapshot = snapshotAt(index, snapshotTerm, *rc::gen::inRange<std::size_t>(0, 1200));
        if (call.isLocal)
            return call;
        last = known && snapshotTerm != term + 100 ? last : index;
        base = index;
    }
    const auto count = *rc::gen::inRange<std::size_t>(0, 4);
    const auto first = *rc::gen::inRange<std::uint64_t>(base + 1, last + 2);
    if (count > 0)
        call.entries = entriesFrom(first, count, term + 1, *rc::gen::inRange<std::size_t>(0, 900));
    return call;
}

} // namespace

// Guards against failures in sequences that `exampleCalls` does not cover, with a crash at a random point of each.
Test(crash, random_calls_match_the_model)
{
    cr_assert(rc::check([] {
        log_model model;
        std::vector<store_call> calls;
        const auto count = *rc::gen::resize(100, rc::gen::inRange(1, 25));
        for (int i = 0; i < count; ++i) {
            calls.push_back(anyCall(model));
            model.apply(calls.back());
        }
        fake_disk uninterrupted;
        run(uninterrupted, calls, true);
        fake_disk disk;
        disk.crashAt = *rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, uninterrupted.operations));
        const auto result = run(disk, calls);
        for (const auto& state : disk.crashStates())
            RC_ASSERT(isAllowed(result, reopen(*state)));
    }));
}
