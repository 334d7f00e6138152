#include "chervilport/instance/read_tokens.h"

#include "chervilport/core/chervilport_error.h"

#include <fstream>
#include <sstream>

namespace chervilport {

namespace {

    constexpr std::size_t minTokenLength = 16;
    constexpr std::string_view operatorName = "operator";

} // namespace

access_policy readTokens(const std::string& path)
{
    access_policy policy;
    if (path.empty())
        return policy;
    std::ifstream stream(path);
    if (!stream)
        throw chervilport_error(error_kind::InvalidRequest, "the token file " + path + " cannot be read");
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        std::istringstream words(line);
        access_token token;
        std::string rest;
        if (!(words >> token.token >> token.workspace) || (words >> rest) || token.token.size() < minTokenLength) {
            throw chervilport_error(error_kind::InvalidRequest,
                path + ":" + std::to_string(number) + ": must be a token of at least 16 characters and a workspace");
        }
        token.isOperator = token.workspace == operatorName;
        if (token.isOperator)
            token.workspace.clear();
        policy.tokens.push_back(std::move(token));
    }
    // Without tokens the policy would accept every caller.
    if (policy.tokens.empty())
        throw chervilport_error(error_kind::InvalidRequest, "the token file " + path + " contains no token");
    return policy;
}

} // namespace chervilport
