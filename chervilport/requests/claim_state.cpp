#include "chervilport/requests/claim_state.h"

#include <cassert>

namespace chervilport {

namespace {

    /// Bytes of a record besides its strings: nodes of the maps and fixed-size members.
    constexpr std::size_t recordOverhead = 512;

    std::size_t bytesOf(const http_response& response)
    {
        std::size_t bytes = response.body.size();
        for (const auto& header : response.headers)
            bytes += header.name.size() + header.value.size() + sizeof(http_header);
        return bytes;
    }

    std::size_t bytesOf(const claim_key& key, const claim_record& record)
    {
        return recordOverhead + 2 * (key.workspace.size() + key.key.size()) + record.bodyHash.size()
            + (record.response ? bytesOf(*record.response) : 0);
    }

    void removeFromIndexes(claim_state& state, const claim_key& key, const claim_record& record)
    {
        state.bytes -= bytesOf(key, record);
        state.running.erase({ record.statusTime, key });
        state.ended.erase({ record.statusTime, key });
        state.stored.erase({ record.statusTime, key });
    }

    void addToIndexes(claim_state& state, const claim_key& key, const claim_record& record)
    {
        state.bytes += bytesOf(key, record);
        if (record.status == claim_status::Running)
            state.running.insert({ record.statusTime, key });
        else
            state.ended.insert({ record.statusTime, key });
        if (record.response)
            state.stored.insert({ record.statusTime, key });
    }

    void addRecord(claim_state& state, const claim_key& key, claim_record record)
    {
        const auto [entry, isNew] = state.records.emplace(key, std::move(record));
        assert(isNew);
        addToIndexes(state, key, entry->second);
    }

    template <typename Change> void updateRecord(claim_state& state, const claim_key& key, const Change& change)
    {
        auto& record = state.records.at(key);
        removeFromIndexes(state, key, record);
        change(record);
        addToIndexes(state, key, record);
    }

    void removeRecord(claim_state& state, const claim_key& key)
    {
        const auto entry = state.records.find(key);
        assert(entry != state.records.end());
        removeFromIndexes(state, key, entry->second);
        state.records.erase(entry);
    }

    void markUncertain(claim_state& state, const claim_key& key, log_time now)
    {
        updateRecord(state, key, [&](claim_record& record) {
            record.status = claim_status::Uncertain;
            record.statusTime = now;
        });
    }

    // Marks overdue running claims as uncertain and removes ended claims after their retention.
    void expireClaims(claim_state& state, log_time now)
    {
        while (!state.running.empty() && state.running.begin()->first <= now) {
            const auto key = state.running.begin()->second;
            markUncertain(state, key, now);
        }
        while (!state.ended.empty() && state.ended.begin()->first + state.settings.retention <= now) {
            const auto key = state.ended.begin()->second;
            removeRecord(state, key);
        }
    }

    // Evicts the oldest responses, then the oldest claims past the minimum retention, until the size is within
    // maxBytes.
    void evictToBound(claim_state& state, log_time now)
    {
        while (state.bytes > state.settings.maxBytes && !state.stored.empty()) {
            const auto key = state.stored.begin()->second;
            updateRecord(state, key, [](claim_record& record) { record.response.reset(); });
        }
        while (state.bytes > state.settings.maxBytes && !state.ended.empty()
            && state.ended.begin()->first + state.settings.minRetention <= now) {
            const auto key = state.ended.begin()->second;
            removeRecord(state, key);
        }
    }

    claim_reply replyToExisting(const claim_record& record, const claim_step& step)
    {
        if (record.bodyHash != step.bodyHash)
            return { claim_verdict::KeyReused, {} };
        switch (record.status) {
        case claim_status::Completed:
            return { claim_verdict::Completed, record.response };
        case claim_status::Uncertain:
            return { claim_verdict::Uncertain, {} };
        case claim_status::Running:
            break;
        }
        // The owner may submit its step again after a lost reply.
        const bool isRepeated = record.owner == step.owner && record.number == step.number;
        return { isRepeated ? claim_verdict::Granted : claim_verdict::StillRunning, {} };
    }

    claim_reply applyClaim(claim_state& state, const claim_step& step, log_time now)
    {
        const auto known = state.records.find(step.key);
        if (known != state.records.end())
            return replyToExisting(known->second, step);
        // Adds the claim and removes it again if eviction does not free enough memory for it.
        claim_record record;
        record.owner = step.owner;
        record.number = step.number;
        record.bodyHash = step.bodyHash;
        record.statusTime = now + step.uncertainAfter;
        addRecord(state, step.key, std::move(record));
        evictToBound(state, now);
        if (state.bytes <= state.settings.maxBytes)
            return {};
        removeRecord(state, step.key);
        return { claim_verdict::Full, {} };
    }

    // Accepts the end of a claim only from its owner. The claim may have become uncertain before: a late result of the
    // owner is still correct.
    claim_reply applyEnd(claim_state& state, const claim_step& step, log_time now)
    {
        const auto known = state.records.find(step.key);
        if (known == state.records.end() || !(known->second.owner == step.owner) || known->second.number != step.number
            || known->second.status == claim_status::Completed)
            return { claim_verdict::Uncertain, {} };
        if (step.kind == claim_step_kind::Release) {
            removeRecord(state, step.key);
            return {};
        }
        updateRecord(state, step.key, [&](claim_record& record) {
            record.statusTime = now;
            record.status = claim_status::Uncertain;
            if (step.kind != claim_step_kind::Complete)
                return;
            record.status = claim_status::Completed;
            if (step.response && bytesOf(*step.response) <= state.settings.maxResponseBytes)
                record.response = step.response;
        });
        evictToBound(state, now);
        return {};
    }

    claim_reply applyOwnerLost(claim_state& state, const claim_step& step, log_time now)
    {
        const auto running = state.running;
        for (const auto& [time, key] : running) {
            const auto& owner = state.records.at(key).owner;
            if (owner.instance == step.owner.instance && owner.incarnation < step.owner.incarnation)
                markUncertain(state, key, now);
        }
        return {};
    }

} // namespace

void restoreClaim(claim_state& state, const claim_key& key, claim_record record)
{
    addRecord(state, key, std::move(record));
}

claim_reply applyClaimStep(claim_state& state, const claim_step& step, log_time now)
{
    expireClaims(state, now);
    switch (step.kind) {
    case claim_step_kind::Claim:
        return applyClaim(state, step, now);
    case claim_step_kind::Complete:
    case claim_step_kind::Uncertain:
    case claim_step_kind::Release:
        return applyEnd(state, step, now);
    case claim_step_kind::OwnerLost:
        return applyOwnerLost(state, step, now);
    }
    return { claim_verdict::Uncertain, {} };
}

} // namespace chervilport
