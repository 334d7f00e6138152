#include "chervilport/requests/claim_reply_codec.h"

#include "chervilport/core/chervilport_error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace chervilport {

namespace {

    using json = nlohmann::json;

    // Bodies and header values may be any bytes, and CBOR texts must be UTF-8.
    json toBytes(std::string_view text) { return json::binary(std::vector<std::uint8_t>(text.begin(), text.end())); }

    std::string fromBytes(const json& value)
    {
        const auto& bytes = value.get_binary();
        return { bytes.begin(), bytes.end() };
    }

    json toJson(const http_response& response)
    {
        auto headers = json::array();
        for (const auto& header : response.headers)
            headers.push_back(json::array({ toBytes(header.name), toBytes(header.value) }));
        return json::array({ response.status, std::move(headers), toBytes(response.body) });
    }

    http_response toResponse(const json& value)
    {
        http_response response;
        response.status = value.at(0).get<int>();
        for (const auto& header : value.at(1))
            response.headers.push_back({ fromBytes(header.at(0)), fromBytes(header.at(1)) });
        response.body = fromBytes(value.at(2));
        return response;
    }

} // namespace

std::string encodeClaimReply(const claim_reply& reply)
{
    const auto document
        = json::array({ static_cast<int>(reply.verdict), reply.response ? toJson(*reply.response) : json() });
    const auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

claim_reply decodeClaimReply(std::string_view bytes)
{
    try {
        const auto document = json::from_cbor(bytes);
        claim_reply reply;
        const auto verdict = document.at(0).get<int>();
        if (verdict < 0 || verdict > static_cast<int>(claim_verdict::Full))
            throw chervilport_error(error_kind::Internal, "the answer to a claim has an unknown verdict");
        reply.verdict = static_cast<claim_verdict>(verdict);
        if (!document.at(1).is_null())
            reply.response = toResponse(document.at(1));
        return reply;
    } catch (const json::exception&) {
        throw chervilport_error(error_kind::Internal, "the answer to a claim cannot be read");
    }
}

} // namespace chervilport
