#include "chervilport/http/error_response.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

namespace chervilport {

http_response makeErrorResponse(error_kind kind, std::string_view message, std::chrono::milliseconds retryAfter)
{
    const auto& properties = errorPropertiesOf(kind);
    nlohmann::ordered_json body;
    body["error"] = properties.name;
    body["message"] = message;
    body["outcome"] = toString(properties.outcome);

    http_response response;
    response.status = properties.httpStatus;
    response.headers.push_back({ "Content-Type", "application/json" });
    if (properties.hasRetryAfter) {
        const auto seconds = std::max(std::chrono::ceil<std::chrono::seconds>(retryAfter), std::chrono::seconds(1));
        response.headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
    }
    // Replace invalid UTF-8 in the message; by default the encoder would throw another error.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace chervilport
