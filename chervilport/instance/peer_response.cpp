#include "chervilport/instance/peer_response.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/http_message.h"
#include "chervilport/instance/configuration_json.h"
#include "chervilport/logging/event_log.h"
#include "chervilport/requests/claim_reply_codec.h"

#include <string_view>

namespace chervilport {

namespace {

    constexpr int okStatus = 200;

    template <typename Decode>
    auto decodeBody(const http_response& response, std::string_view what, Decode decode)
        -> std::optional<decltype(decode(response.body))>
    {
        if (response.status != okStatus)
            return std::nullopt;
        try {
            return decode(response.body);
        } catch (const chervilport_error& error) {
            logEvent("peer_response_unreadable", { { "what", what }, { "reason", error.what() } }, log_level::Warning);
            return std::nullopt;
        }
    }

} // namespace

std::optional<claim_reply> readClaimResponse(const http_response& response)
{
    return decodeBody(response, "claim", [](std::string_view body) { return decodeClaimReply(body); });
}

std::optional<domain_capacity> readCapacityResponse(const http_response& response)
{
    return decodeBody(response, "capacity", [](std::string_view body) { return decodeCapacity(body); });
}

} // namespace chervilport
