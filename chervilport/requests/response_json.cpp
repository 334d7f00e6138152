#include "chervilport/requests/response_json.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace chervilport {

using nlohmann::json;

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

} // namespace chervilport
