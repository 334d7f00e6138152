#include "chervilport/core/chervilport_error.h"
#include "chervilport/requests/claim_state.h"
#include "chervilport/requests/response_json.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace chervilport {

namespace {

    using json = nlohmann::json;

    template <typename Enumeration> Enumeration toEnumeration(const json& value, Enumeration first, Enumeration last)
    {
        const auto number = value.get<int>();
        if (number < static_cast<int>(first) || number > static_cast<int>(last))
            throw chervilport_error(
                error_kind::StorageFailure, "a claim has the unknown enumeration value " + std::to_string(number));
        return static_cast<Enumeration>(number);
    }

    std::string toCbor(const json& value)
    {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    }

    template <typename Read> auto fromCbor(std::string_view bytes, const Read& read)
    {
        try {
            return read(json::from_cbor(bytes.begin(), bytes.end()));
        } catch (const json::exception& error) {
            throw chervilport_error(
                error_kind::StorageFailure, std::string("a claim cannot be decoded: ") + error.what());
        }
    }

    log_duration toDuration(const json& value) { return log_duration(value.get<log_duration::rep>()); }

    claim_record toRecord(const json& entry)
    {
        claim_record record;
        record.status = toEnumeration(entry.at(2), claim_status::Running, claim_status::Uncertain);
        record.owner = { fromBytes(entry.at(3)), entry.at(4).get<std::uint64_t>() };
        record.number = entry.at(5).get<std::uint64_t>();
        record.bodyHash = fromBytes(entry.at(6));
        record.statusTime = log_time(toDuration(entry.at(7)));
        if (!entry.at(8).is_null())
            record.response = toResponse(entry.at(8));
        return record;
    }

} // namespace

std::string encodeClaimStep(const claim_step& step)
{
    const auto response = step.response ? toJson(*step.response) : json();
    return toCbor(json::array(
        { static_cast<int>(step.kind), toBytes(step.key.workspace), toBytes(step.key.key), toBytes(step.owner.instance),
            step.owner.incarnation, step.number, toBytes(step.bodyHash), step.uncertainAfter.count(), response }));
}

claim_step decodeClaimStep(std::string_view bytes)
{
    return fromCbor(bytes, [](const json& value) {
        claim_step step;
        step.kind = toEnumeration(value.at(0), claim_step_kind::Claim, claim_step_kind::OwnerLost);
        step.key = { fromBytes(value.at(1)), fromBytes(value.at(2)) };
        step.owner = { fromBytes(value.at(3)), value.at(4).get<std::uint64_t>() };
        step.number = value.at(5).get<std::uint64_t>();
        step.bodyHash = fromBytes(value.at(6));
        step.uncertainAfter = toDuration(value.at(7));
        if (!value.at(8).is_null())
            step.response = toResponse(value.at(8));
        return step;
    });
}

std::string encodeClaimState(const claim_state& state)
{
    auto records = json::array();
    for (const auto& [key, record] : state.records) {
        records.push_back(json::array({ toBytes(key.workspace), toBytes(key.key), static_cast<int>(record.status),
            toBytes(record.owner.instance), record.owner.incarnation, record.number, toBytes(record.bodyHash),
            record.statusTime.time_since_epoch().count(), record.response ? toJson(*record.response) : json() }));
    }
    return toCbor(records);
}

claim_state decodeClaimState(std::string_view bytes)
{
    return fromCbor(bytes, [](const json& value) {
        claim_state state;
        for (const auto& entry : value)
            restoreClaim(state, { fromBytes(entry.at(0)), fromBytes(entry.at(1)) }, toRecord(entry));
        return state;
    });
}

} // namespace chervilport
