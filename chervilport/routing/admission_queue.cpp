#include "chervilport/routing/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chervilport {

namespace {

    /// Shortest retry delay for a refused caller.
    constexpr log_duration minRetryAfter = std::chrono::seconds(1);

    std::size_t lengthOf(const workspace_queue& workspaceQueue)
    {
        std::size_t length = 0;
        for (const auto& entries : workspaceQueue.waiting)
            length += entries.size();
        return length;
    }

    log_time expiryOf(const admission_queue& queue, const admission_entry& entry)
    {
        return std::min(entry.deadline, entry.offeredAt + queue.settings.maxWait);
    }

    void updateAfterRemoval(admission_queue& queue, std::map<std::string, workspace_queue>::iterator workspaceQueue)
    {
        --queue.length;
        if (lengthOf(workspaceQueue->second) == 0)
            queue.workspaces.erase(workspaceQueue);
    }

    // Removes a request from the workspace with the longest queue, unless the given workspace would have at least as
    // many with its new request. The newest request of the least urgent class is removed, because it has waited least.
    std::optional<std::uint64_t> displaceFor(admission_queue& queue, const std::string& workspace)
    {
        auto longest = queue.workspaces.end();
        for (auto workspaceQueue = queue.workspaces.begin(); workspaceQueue != queue.workspaces.end();
             ++workspaceQueue) {
            if (longest == queue.workspaces.end() || lengthOf(workspaceQueue->second) > lengthOf(longest->second))
                longest = workspaceQueue;
        }
        const auto own = queue.workspaces.find(workspace);
        const auto ownLength = own == queue.workspaces.end() ? 0 : lengthOf(own->second);
        if (longest == queue.workspaces.end() || ownLength + 1 >= lengthOf(longest->second))
            return std::nullopt;
        auto& waiting = longest->second.waiting;
        const auto entries
            = std::find_if(waiting.rbegin(), waiting.rend(), [](const auto& some) { return !some.empty(); });
        const auto id = entries->back().id;
        entries->pop_back();
        updateAfterRemoval(queue, longest);
        return id;
    }

    std::deque<admission_entry>& chooseClass(workspace_queue& workspaceQueue, bool takesOldest)
    {
        std::deque<admission_entry>* chosen = nullptr;
        for (auto& entries : workspaceQueue.waiting) {
            if (entries.empty())
                continue;
            if (!chosen || (takesOldest && entries.front().offeredAt < chosen->front().offeredAt))
                chosen = &entries;
        }
        assert(chosen);
        return *chosen;
    }

    void updateMeanInterval(admission_queue& queue, log_time now)
    {
        // Only intervals during which requests waited show how fast slots become free.
        if (queue.lastTaken) {
            const auto interval = now - *queue.lastTaken;
            const auto change = static_cast<double>((interval - queue.meanInterval).count());
            queue.meanInterval = queue.meanInterval.count() == 0
                ? interval
                : queue.meanInterval + log_duration(static_cast<log_duration::rep>(queue.settings.ewmaWeight * change));
        }
        if (queue.length > 0)
            queue.lastTaken = now;
        else
            queue.lastTaken.reset();
    }

} // namespace

log_duration expectedWait(const admission_queue& queue, const std::string& workspace)
{
    // For each turn of this workspace, every other workspace with waiting requests has a turn, too.
    const auto own = queue.workspaces.find(workspace);
    const auto position = (own == queue.workspaces.end() ? 0 : lengthOf(own->second)) + 1;
    std::size_t ahead = 0;
    for (const auto& [name, workspaceQueue] : queue.workspaces)
        ahead += std::min(lengthOf(workspaceQueue), position);
    return queue.meanInterval * static_cast<log_duration::rep>(ahead);
}

admission_offer offerRequest(admission_queue& queue, admission_entry entry, log_time now)
{
    // Refuses a request that is expected to expire in the queue.
    entry.offeredAt = now;
    const auto wait = expectedWait(queue, entry.workspace);
    if (now + wait > expiryOf(queue, entry))
        return { false, std::max(wait, minRetryAfter), std::nullopt };

    // Displaces another request if the queue is full.
    admission_offer offer;
    if (queue.length >= queue.settings.maxLength) {
        offer.displaced = displaceFor(queue, entry.workspace);
        if (!offer.displaced)
            return { false, std::max(wait, minRetryAfter), std::nullopt };
    }
    // Adds the request to the queue of its workspace.
    const auto [workspaceQueue, isNew] = queue.workspaces.try_emplace(entry.workspace);
    // A workspace gets no credit for turns during which it had no waiting requests.
    if (isNew)
        workspaceQueue->second.turn = queue.turn;
    workspaceQueue->second.waiting.at(static_cast<std::size_t>(entry.priority)).push_back(std::move(entry));
    ++queue.length;
    offer.isAdmitted = true;
    return offer;
}

std::optional<admission_entry> takeRequest(admission_queue& queue, log_time now)
{
    if (queue.workspaces.empty())
        return std::nullopt;
    // Chooses the workspace with the fewest turns.
    const auto next = std::min_element(queue.workspaces.begin(), queue.workspaces.end(),
        [](const auto& left, const auto& right) { return left.second.turn < right.second.turn; });
    auto& workspaceQueue = next->second;
    ++workspaceQueue.turn;
    queue.turn = workspaceQueue.turn;
    // Removes its next request.
    const bool takesOldest = workspaceQueue.turn % static_cast<std::uint64_t>(queue.settings.turnsPerOldest) == 0;
    auto& entries = chooseClass(workspaceQueue, takesOldest);
    auto taken = std::move(entries.front());
    entries.pop_front();
    updateAfterRemoval(queue, next);
    updateMeanInterval(queue, now);
    return taken;
}

bool removeRequest(admission_queue& queue, std::uint64_t id)
{
    for (auto workspaceQueue = queue.workspaces.begin(); workspaceQueue != queue.workspaces.end(); ++workspaceQueue) {
        for (auto& entries : workspaceQueue->second.waiting) {
            const auto found
                = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) { return entry.id == id; });
            if (found == entries.end())
                continue;
            entries.erase(found);
            updateAfterRemoval(queue, workspaceQueue);
            return true;
        }
    }
    return false;
}

std::vector<admission_entry> removeExpired(admission_queue& queue, log_time now)
{
    std::vector<admission_entry> expired;
    for (auto workspaceQueue = queue.workspaces.begin(); workspaceQueue != queue.workspaces.end();) {
        const auto current = workspaceQueue++;
        for (auto& entries : current->second.waiting) {
            const auto first = std::stable_partition(
                entries.begin(), entries.end(), [&](const auto& entry) { return expiryOf(queue, entry) > now; });
            queue.length -= static_cast<std::size_t>(entries.end() - first);
            std::move(first, entries.end(), std::back_inserter(expired));
            entries.erase(first, entries.end());
        }
        if (lengthOf(current->second) == 0)
            queue.workspaces.erase(current);
    }
    return expired;
}

std::optional<log_time> nextExpiry(const admission_queue& queue)
{
    std::optional<log_time> next;
    for (const auto& [name, workspaceQueue] : queue.workspaces) {
        for (const auto& entries : workspaceQueue.waiting) {
            for (const auto& entry : entries)
                next = std::min(next.value_or(log_time::max()), expiryOf(queue, entry));
        }
    }
    return next;
}

} // namespace chervilport
