#include "chervilport/control/cluster_calls.h"

#include "chervilport/logging/event_log.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    constexpr std::string_view statusTarget = "/status";
    constexpr std::string_view joinTarget = "/join";
    constexpr std::string_view leaderHeader = "Chervilport-Leader";
    constexpr std::string_view outcomeHeader = "Chervilport-Outcome";
    constexpr int misdirected = 421;
    constexpr int gatewayTimeout = 504;
    constexpr int ok = 200;
    /// Longest pause that a member can ask for, in milliseconds.
    constexpr std::int64_t maxPauseMs = 10'000;

    nlohmann::json parse(const std::string& body) { return nlohmann::json::parse(body, nullptr, false); }

    /// Logs a message of another instance of which a field has an unexpected type.
    void logUnreadable(const char* what, const nlohmann::json::exception& error)
    {
        logEvent("cluster_message_unreadable", { { "message", what }, { "reason", error.what() } }, log_level::Warning);
    }

    /// Reads the fields of a status. Throws nlohmann::json::exception when one has another type.
    cluster_status readStatus(const nlohmann::json& body)
    {
        cluster_status status;
        status.term = body.value("term", std::uint64_t { 0 });
        status.serves = body.value("serves", false);
        status.searchPause = std::chrono::milliseconds(
            std::clamp<std::int64_t>(body.value("search_pause_ms", std::int64_t { 0 }), 0, maxPauseMs));
        if (body.contains("leader"))
            status.leader = member_id { body["leader"].get<std::uint64_t>() };
        for (const auto& id : body.value("members", nlohmann::json::array()))
            status.members.push_back(member_id { id.get<std::uint64_t>() });
        return status;
    }

} // namespace

http_request makeStatusRequest() { return { std::string(clusterMethod), std::string(statusTarget), {}, {} }; }

bool isStatusRequest(const http_request& request)
{
    return request.method == clusterMethod && request.target == statusTarget;
}

http_request makeJoinRequest(const member& joining)
{
    const nlohmann::json body { { "id", static_cast<std::uint64_t>(joining.id) },
        { "incarnation", joining.incarnation }, { "has_disk", joining.hasDisk } };
    return { std::string(clusterMethod), std::string(joinTarget), {}, body.dump() };
}

std::optional<member> readJoinRequest(const http_request& request)
{
    if (request.method != clusterMethod || request.target != joinTarget)
        return std::nullopt;
    const auto body = parse(request.body);
    if (!body.is_object())
        return std::nullopt;
    try {
        return member { member_id { body.value("id", std::uint64_t { 0 }) },
            body.value("incarnation", std::uint64_t { 0 }), body.value("has_disk", false), false };
    } catch (const nlohmann::json::exception& error) {
        logUnreadable("join request", error);
        return std::nullopt;
    }
}

http_response makeStatusResponse(const cluster_status& status)
{
    nlohmann::json body { { "term", status.term }, { "serves", status.serves },
        { "search_pause_ms", std::chrono::duration_cast<std::chrono::milliseconds>(status.searchPause).count() } };
    if (status.leader)
        body["leader"] = static_cast<std::uint64_t>(*status.leader);
    body["members"] = nlohmann::json::array();
    for (const auto id : status.members)
        body["members"].push_back(static_cast<std::uint64_t>(id));
    return { ok, {}, body.dump() };
}

std::optional<cluster_status> readStatusResponse(const http_response& response)
{
    const auto body = parse(response.body);
    if (response.status != ok || !body.is_object())
        return std::nullopt;
    try {
        return readStatus(body);
    } catch (const nlohmann::json::exception& error) {
        logUnreadable("status", error);
        return std::nullopt;
    }
}

http_response makeNotLeaderResponse(std::optional<member_id> leader)
{
    const auto named = leader ? static_cast<std::uint64_t>(*leader) : 0;
    return { misdirected, { { std::string(leaderHeader), std::to_string(named) } }, {} };
}

bool isNotLeaderResponse(const http_response& response)
{
    return response.status == misdirected && findHeader(response.headers, leaderHeader).data() != nullptr;
}

std::optional<member_id> leaderNamedIn(const http_response& response)
{
    const auto text = findHeader(response.headers, leaderHeader);
    std::uint64_t named = 0;
    std::from_chars(text.data(), text.data() + text.size(), named);
    return named == 0 ? std::nullopt : std::optional(member_id { named });
}

http_response makeOutcomeUnknownResponse()
{
    return { gatewayTimeout, { { std::string(outcomeHeader), "unknown" } }, {} };
}

bool isOutcomeUnknownResponse(const http_response& response)
{
    return response.status == gatewayTimeout && findHeader(response.headers, outcomeHeader) == "unknown";
}

} // namespace chervilport
