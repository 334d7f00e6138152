#include "chervilport/instance/routing_notice.h"

#include "chervilport/core/chervilport_error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    using json = nlohmann::json;

    constexpr int announcementsKind = 1;
    constexpr int reportKind = 2;
    constexpr int grantKind = 3;

    json toJson(const upstream_announcement& announcement)
    {
        return json::array({ announcement.id.address, announcement.id.incarnation, announcement.sequence,
            static_cast<int>(announcement.state), announcement.failureDomain, announcement.service, announcement.slots,
            announcement.connections });
    }

    upstream_announcement toAnnouncement(const json& value)
    {
        upstream_announcement announcement;
        announcement.id = { value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>() };
        announcement.sequence = value.at(2).get<std::uint64_t>();
        announcement.state = static_cast<upstream_state>(value.at(3).get<int>());
        announcement.kind = upstream_kind::Executor;
        announcement.failureDomain = value.at(4).get<std::string>();
        announcement.service = value.at(5).get<std::string>();
        announcement.slots = value.at(6).get<std::int32_t>();
        announcement.connections = value.at(7).get<std::int32_t>();
        return announcement;
    }

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
        for (const auto& item : list) {
            shares.push_back(
                { { item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>() }, item.at(2).get<std::int32_t>() });
        }
        return shares;
    }

    json encode(const announcement_batch& batch)
    {
        auto list = json::array();
        for (const auto& announcement : batch.announcements)
            list.push_back(toJson(announcement));
        return json::array({ announcementsKind, std::move(list) });
    }

    json encode(const share_report& report)
    {
        return json::array(
            { reportKind, report.instance, report.incarnation, report.sequence, toJson(report.held), report.demand });
    }

    json encode(const share_grant& grant)
    {
        return json::array({ grantKind, grant.sequence, grant.term.count(), toJson(grant.shares) });
    }

    routing_notice decode(const json& document)
    {
        const auto kind = document.at(0).get<int>();
        if (kind == announcementsKind) {
            announcement_batch batch;
            for (const auto& item : document.at(1))
                batch.announcements.push_back(toAnnouncement(item));
            return batch;
        }
        if (kind == reportKind) {
            share_report report;
            report.instance = document.at(1).get<std::string>();
            report.incarnation = document.at(2).get<std::uint64_t>();
            report.sequence = document.at(3).get<std::uint64_t>();
            report.held = toShares(document.at(4));
            report.demand = document.at(5).get<std::map<std::string, std::int32_t>>();
            return report;
        }
        if (kind != grantKind)
            throw chervilport_error(error_kind::Internal, "a notice about routing is of an unknown kind");
        share_grant grant;
        grant.sequence = document.at(1).get<std::uint64_t>();
        grant.term = log_duration(document.at(2).get<std::int64_t>());
        grant.shares = toShares(document.at(3));
        return grant;
    }

} // namespace

std::string encodeRoutingNotice(const routing_notice& notice)
{
    const auto document = std::visit([](const auto& content) { return encode(content); }, notice);
    const auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

routing_notice decodeRoutingNotice(std::string_view bytes)
{
    try {
        return decode(json::from_cbor(bytes));
    } catch (const json::exception&) {
        throw chervilport_error(error_kind::Internal, "a notice about routing cannot be read");
    }
}

} // namespace chervilport
