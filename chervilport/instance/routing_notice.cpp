#include "chervilport/instance/routing_notice.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/requests/share_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    using json = nlohmann::json;

    enum class notice_kind : std::uint8_t {
        Announcements = 1,
        Report = 2,
        Grant = 3,
    };

    std::string withKind(notice_kind kind, std::string_view content)
    {
        return static_cast<char>(kind) + std::string(content);
    }

    json toJson(const upstream_announcement& announcement)
    {
        return json::array({ announcement.id.address, announcement.id.incarnation, announcement.sequence,
            static_cast<int>(announcement.state), announcement.failureDomain, announcement.service, announcement.slots,
            announcement.connections });
    }

    upstream_announcement toAnnouncement(const json& value)
    {
        const auto state = value.at(3).get<int>();
        if (state < 0 || state > static_cast<int>(upstream_state::Gone))
            throw chervilport_error(
                error_kind::Internal, "notice contains the unknown upstream state " + std::to_string(state));
        upstream_announcement announcement;
        announcement.id = { value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>() };
        announcement.sequence = value.at(2).get<std::uint64_t>();
        announcement.state = static_cast<upstream_state>(state);
        announcement.kind = upstream_kind::Executor;
        announcement.failureDomain = value.at(4).get<std::string>();
        announcement.service = value.at(5).get<std::string>();
        announcement.slots = value.at(6).get<std::int32_t>();
        announcement.connections = value.at(7).get<std::int32_t>();
        return announcement;
    }

    std::string encode(const announcement_batch& batch)
    {
        auto list = json::array();
        for (const auto& announcement : batch.announcements)
            list.push_back(toJson(announcement));
        auto drained = json::array();
        for (const auto& id : batch.drained)
            drained.push_back(json::array({ id.address, id.incarnation }));
        const auto bytes = json::to_cbor(json::array({ std::move(list), std::move(drained) }));
        return withKind(notice_kind::Announcements, { reinterpret_cast<const char*>(bytes.data()), bytes.size() });
    }

    std::string encode(const share_report& report) { return withKind(notice_kind::Report, encodeShareReport(report)); }

    std::string encode(const share_grant& grant) { return withKind(notice_kind::Grant, encodeShareGrant(grant)); }

    announcement_batch decodeBatch(std::string_view content)
    {
        announcement_batch batch;
        const auto document = json::from_cbor(content);
        for (const auto& item : document.at(0))
            batch.announcements.push_back(toAnnouncement(item));
        for (const auto& item : document.at(1))
            batch.drained.push_back({ item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>() });
        return batch;
    }

} // namespace

std::string encodeRoutingNotice(const routing_notice& notice)
{
    return std::visit([](const auto& content) { return encode(content); }, notice);
}

routing_notice decodeRoutingNotice(std::string_view bytes)
{
    if (bytes.empty())
        throw chervilport_error(error_kind::Internal, "routing notice is empty");
    const auto content = bytes.substr(1);
    try {
        switch (static_cast<notice_kind>(bytes.front())) {
        case notice_kind::Announcements:
            return decodeBatch(content);
        case notice_kind::Report:
            return decodeShareReport(content);
        case notice_kind::Grant:
            return decodeShareGrant(content);
        }
    } catch (const json::exception&) {
        throw chervilport_error(
            error_kind::Internal, "routing notice of " + std::to_string(bytes.size()) + " bytes cannot be decoded");
    }
    throw chervilport_error(
        error_kind::Internal, "routing notice has the unknown kind " + std::to_string(static_cast<int>(bytes.front())));
}

} // namespace chervilport
