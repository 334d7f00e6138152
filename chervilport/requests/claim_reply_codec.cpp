#include "chervilport/requests/claim_reply_codec.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/requests/response_json.h"

#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    using json = nlohmann::json;

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
            throw chervilport_error(
                error_kind::Internal, "the claim reply has the unknown verdict " + std::to_string(verdict));
        reply.verdict = static_cast<claim_verdict>(verdict);
        if (!document.at(1).is_null())
            reply.response = toResponse(document.at(1));
        return reply;
    } catch (const json::exception& error) {
        throw chervilport_error(
            error_kind::Internal, std::string("the claim reply cannot be decoded: ") + error.what());
    }
}

} // namespace chervilport
