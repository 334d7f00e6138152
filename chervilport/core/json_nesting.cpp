#include "chervilport/core/json_nesting.h"

namespace chervilport {

namespace {

    /// Returns the position of the closing quotation mark of the string that begins at `begin`, or the end of the text.
    std::size_t endOfString(std::string_view json, std::size_t begin)
    {
        for (auto i = begin + 1; i < json.size(); ++i) {
            if (json[i] == '\\')
                ++i;
            else if (json[i] == '"')
                return i;
        }
        return json.size();
    }

} // namespace

bool isNestedDeeperThan(std::string_view json, std::size_t maxDepth)
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i < json.size(); ++i) {
        const char each = json[i];
        if (each == '"')
            i = endOfString(json, i);
        else if (each == '[' || each == '{')
            ++depth;
        else if ((each == ']' || each == '}') && depth > 0)
            --depth;
        if (depth > maxDepth)
            return true;
    }
    return false;
}

} // namespace chervilport
