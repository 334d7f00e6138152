#include "chervilport/http/http_message.h"

#include <algorithm>

namespace chervilport {

namespace {

    char toLower(char letter)
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char one, char other) { return toLower(one) == toLower(other); });
}

std::string_view findHeader(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equalHeaderNames(header.name, name))
            return header.value;
    }
    return {};
}

} // namespace chervilport
