#include "chervilport/consensus/entry_log.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chervilport {

entry_log makeEntryLog(persisted_state&& stored)
{
    entry_log log;
    if (stored.lastSnapshot) {
        log.baseIndex = stored.lastSnapshot->index;
        log.baseTerm = stored.lastSnapshot->term;
        log.lastSnapshot = std::move(stored.lastSnapshot);
    }
    for (auto& entry : stored.entries) {
        if (entry.index <= log.baseIndex)
            continue;
        if (entry.index != lastIndex(log) + 1)
            throw chervilport_error(
                error_kind::StorageFailure, "stored log has a gap before entry " + std::to_string(entry.index));
        log.entries.push_back(std::move(entry));
    }
    return log;
}

std::uint64_t lastIndex(const entry_log& log) { return log.baseIndex + log.entries.size(); }

std::uint64_t lastTerm(const entry_log& log) { return log.entries.empty() ? log.baseTerm : log.entries.back().term; }

std::optional<std::uint64_t> termAt(const entry_log& log, std::uint64_t index)
{
    if (index == log.baseIndex)
        return log.baseTerm;
    if (index < log.baseIndex || index > lastIndex(log))
        return std::nullopt;
    return entryAt(log, index).term;
}

const log_entry& entryAt(const entry_log& log, std::uint64_t index)
{
    assert(index > log.baseIndex && index <= lastIndex(log));
    return log.entries[index - log.baseIndex - 1];
}

std::vector<log_entry> copyEntries(const entry_log& log, std::uint64_t first, std::size_t maxBytes)
{
    std::vector<log_entry> copied;
    std::size_t bytes = 0;
    for (auto index = first; index <= lastIndex(log); ++index) {
        const auto& entry = entryAt(log, index);
        bytes += entry.payload.size();
        if (!copied.empty() && bytes > maxBytes)
            break;
        copied.push_back(entry);
    }
    return copied;
}

void truncateFrom(entry_log& log, std::uint64_t first)
{
    assert(first > log.baseIndex);
    if (first <= lastIndex(log))
        log.entries.resize(first - log.baseIndex - 1);
}

void resetToSnapshot(entry_log& log, snapshot content)
{
    log.entries.clear();
    log.baseIndex = content.index;
    log.baseTerm = content.term;
    log.lastSnapshot = std::move(content);
}

void compactTo(entry_log& log, snapshot content, std::uint64_t retained)
{
    const auto newBase = content.index > retained ? content.index - retained : 0;
    log.lastSnapshot = std::move(content);
    if (newBase <= log.baseIndex)
        return;
    log.baseTerm = entryAt(log, newBase).term;
    log.entries.erase(log.entries.begin(), log.entries.begin() + static_cast<std::ptrdiff_t>(newBase - log.baseIndex));
    log.baseIndex = newBase;
}

} // namespace chervilport
