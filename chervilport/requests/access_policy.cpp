#include "chervilport/requests/access_policy.h"

#include "chervilport/core/chervilport_error.h"

#include <algorithm>

namespace chervilport {

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    // `volatile` prevents the compiler from leaving the loop at the first difference.
    volatile unsigned difference = left.size() == right.size() ? 0U : 1U;
    const auto length = std::min(left.size(), right.size());
    for (std::size_t i = 0; i < length; ++i)
        difference = difference | static_cast<unsigned char>(left[i] ^ right[i]);
    return difference == 0;
}

caller_identity verifyCaller(const access_policy& policy, std::string_view authorization)
{
    if (policy.tokens.empty())
        return { {}, true };
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        throw chervilport_error(error_kind::Unauthenticated, "the request needs a bearer token");
    const auto presented = authorization.substr(scheme.size());
    // Compares all tokens, so that the running time does not reveal which of them matches in part.
    const access_token* matching = nullptr;
    for (const auto& token : policy.tokens) {
        if (equalInConstantTime(token.token, presented))
            matching = &token;
    }
    if (!matching)
        throw chervilport_error(error_kind::Unauthenticated, "the bearer token is invalid");
    return { matching->isOperator ? std::string() : matching->workspace, matching->isOperator };
}

} // namespace chervilport
