#include "chervilport/requests/request_headers.h"

#include <algorithm>
#include <array>
#include <span>

namespace chervilport {

namespace {

    constexpr std::array<std::string_view, 12> hopByHopHeaders
        = { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE",
              "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Host" };

    constexpr std::array<std::string_view, 4> strippedHeaders
        = { header_names::authorization, header_names::workspace, header_names::deadline, header_names::attempt };

    bool isOneOf(std::string_view name, std::span<const std::string_view> names)
    {
        return std::any_of(names.begin(), names.end(), [&](auto other) { return equalHeaderNames(name, other); });
    }

    std::vector<std::string_view> splitList(std::string_view list)
    {
        std::vector<std::string_view> parts;
        while (!list.empty()) {
            const auto end = std::min(list.find(','), list.size());
            auto part = list.substr(0, end);
            while (part.starts_with(' '))
                part.remove_prefix(1);
            while (part.ends_with(' '))
                part.remove_suffix(1);
            parts.push_back(part);
            list.remove_prefix(std::min(end + 1, list.size()));
        }
        return parts;
    }

} // namespace

std::vector<http_header> withoutHopByHopHeaders(const std::vector<http_header>& headers)
{
    const auto named = splitList(findHeader(headers, "Connection"));
    std::vector<http_header> kept;
    for (const auto& header : headers) {
        if (!isOneOf(header.name, hopByHopHeaders) && !isOneOf(header.name, named))
            kept.push_back(header);
    }
    return kept;
}

std::vector<http_header> upstreamHeadersOf(const std::vector<http_header>& headers)
{
    auto kept = withoutHopByHopHeaders(headers);
    std::erase_if(kept, [](const auto& header) { return isOneOf(header.name, strippedHeaders); });
    return kept;
}

} // namespace chervilport
