#include "chervilport/requests/share_codec.h"

#include "chervilport/core/chervilport_error.h"

#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    using json = nlohmann::json;

    json toJson(const std::vector<slot_share>& shares)
    {
        auto list = json::array();
        for (const auto& share : shares)
            list.push_back(json::array({ share.executor.address, share.executor.incarnation, share.slots }));
        return list;
    }

    std::vector<slot_share> toShares(const json& list)
    {
        std::vector<slot_share> shares;
        shares.reserve(list.size());
        for (const auto& item : list) {
            shares.push_back(
                { { item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>() }, item.at(2).get<std::int32_t>() });
        }
        return shares;
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
                error_kind::InvalidRequest, std::string("a slot share message cannot be decoded: ") + error.what());
        }
    }

} // namespace

std::string encodeShareReport(const share_report& report)
{
    return toCbor(json::array(
        { report.instance, report.incarnation, report.sequence, toJson(report.held), json(report.demand) }));
}

share_report decodeShareReport(std::string_view bytes)
{
    return fromCbor(bytes, [](const json& value) {
        return share_report { value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>(),
            value.at(2).get<std::uint64_t>(), toShares(value.at(3)),
            value.at(4).get<std::map<std::string, std::int32_t>>() };
    });
}

std::string encodeShareGrant(const share_grant& grant)
{
    return toCbor(json::array({ grant.sequence, grant.leaseDuration.count(), toJson(grant.shares) }));
}

share_grant decodeShareGrant(std::string_view bytes)
{
    return fromCbor(bytes, [](const json& value) {
        return share_grant { value.at(0).get<std::uint64_t>(), log_duration(value.at(1).get<log_duration::rep>()),
            toShares(value.at(2)) };
    });
}

} // namespace chervilport
