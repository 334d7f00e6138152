#pragma once

#include "chervilport/consensus/persisted_state.h"
#include "chervilport/storage/log_store.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace chervilport {

/// A call of `log_store::persist` or `log_store::saveSnapshot`.
struct store_call {
    /// Term and vote to persist.
    std::optional<hard_state> hardState;
    /// Snapshot, received from the leader or taken by this member.
    std::optional<snapshot> newSnapshot;
    /// Whether the snapshot was taken by this member and is passed to `saveSnapshot`.
    bool isLocal = false;
    /// Entries to append.
    std::vector<log_entry> entries;
};

/// Makes the call on a store.
inline void applyCall(log_store& store, const store_call& call)
{
    if (call.isLocal)
        store.saveSnapshot(*call.newSnapshot);
    else
        store.persist(call.hardState, call.newSnapshot, call.entries);
}

inline bool areEqual(const persisted_state& one, const persisted_state& other)
{
    return one.hardState == other.hardState && one.lastSnapshot == other.lastSnapshot && one.entries == other.entries;
}

/// Reference model of the state that a store must contain.
struct log_model {
    /// Expected state.
    persisted_state state;

    /// Returns the last index of the log.
    std::uint64_t last() const { return base() + state.entries.size(); }
    /// Returns the last index covered by the snapshot.
    std::uint64_t base() const { return state.lastSnapshot ? state.lastSnapshot->index : 0; }

    /// Applies a call and returns the states after each of its parts; the last one is the state after the call.
    std::vector<persisted_state> apply(const store_call& call)
    {
        std::vector<persisted_state> states;
        if (call.hardState && call.newSnapshot) {
            state.hardState = *call.hardState;
            states.push_back(state);
        }
        if (call.newSnapshot) {
            cover(*call.newSnapshot);
            states.push_back(state);
        }
        if (call.hardState)
            state.hardState = *call.hardState;
        for (const auto& entry : call.entries) {
            state.entries.resize(entry.index - base() - 1);
            state.entries.push_back(entry);
        }
        states.push_back(state);
        return states;
    }

private:
    void cover(const snapshot& newSnapshot)
    {
        if (newSnapshot.index <= base())
            return;
        const auto position = newSnapshot.index - base() - 1;
        const bool matches = position < state.entries.size() && state.entries[position].term == newSnapshot.term;
        const auto dropped = matches ? position + 1 : state.entries.size();
        state.entries.erase(state.entries.begin(), state.entries.begin() + static_cast<std::ptrdiff_t>(dropped));
        state.lastSnapshot = newSnapshot;
    }
};

/// Returns `count` entries of one term from an index on.
inline std::vector<log_entry> entriesFrom(
    std::uint64_t first, std::size_t count, std::uint64_t term, std::size_t payloadBytes = 10)
{
    std::vector<log_entry> entries;
    entries.reserve(count);
    for (std::uint64_t index = first; index < first + count; ++index)
        entries.push_back({ index, term, entry_kind::Data,
            std::string(payloadBytes, static_cast<char>('a' + index % 26)) + std::to_string(index) });
    return entries;
}

/// Returns a snapshot with data of the given size.
inline snapshot snapshotAt(std::uint64_t index, std::uint64_t term, std::size_t bytes = 30)
{
    return { index, term, { { { member_id { 1 }, 5, true } }, {} }, std::string(bytes, 's') };
}

/// Returns a sequence of calls that covers votes, replaced entries, new segments, records longer than a sector, and own
/// and received snapshots whose index has a matching entry, a conflicting entry or no entry.
inline std::vector<store_call> exampleCalls()
{
    const hard_state voted { 1, member_id { 2 } };
    const hard_state second { 2, std::nullopt };
    const hard_state third { 3, member_id { 1 } };
    return {
        { voted, std::nullopt, false, {} },
        { std::nullopt, std::nullopt, false, entriesFrom(1, 3, 1) },
        { second, std::nullopt, false, entriesFrom(3, 3, 2, 700) },
        { std::nullopt, snapshotAt(2, 1), true, {} },
        { std::nullopt, std::nullopt, false, entriesFrom(6, 4, 2) },
        { third, snapshotAt(20, 3), false, entriesFrom(21, 2, 3) },
        { std::nullopt, std::nullopt, false, entriesFrom(22, 3, 4, 1500) },
        { std::nullopt, snapshotAt(22, 4), false, {} },
        { std::nullopt, snapshotAt(24, 4, 600), true, {} },
        { hard_state { 5, std::nullopt }, std::nullopt, false, entriesFrom(25, 2, 5) },
        { std::nullopt, snapshotAt(26, 6), false, entriesFrom(27, 1, 6) },
        { std::nullopt, std::nullopt, false, entriesFrom(28, 4, 7) },
        { std::nullopt, snapshotAt(29, 8), false, entriesFrom(30, 1, 8) },
        { std::nullopt, std::nullopt, false, entriesFrom(31, 4, 8) },
        { std::nullopt, snapshotAt(32, 9), false, {} },
    };
}

} // namespace chervilport
