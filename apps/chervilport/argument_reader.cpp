#include "apps/chervilport/argument_reader.h"

#include "chervilport/core/chervilport_error.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace chervilport {

void failUsage(const std::string& message) { throw chervilport_error(error_kind::InvalidRequest, message); }

void requireNoArguments(int argc)
{
    if (argc != 1)
        failUsage("the command takes no arguments");
}

std::uint64_t readCount(const char* option, const char* text)
{
    const std::string_view digits(text);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (digits.empty() || parsed.ec != std::errc {} || parsed.ptr != digits.data() + digits.size())
        failUsage(std::string(option) + " must be a non-negative integer, got \"" + text + "\"");
    return number;
}

std::string readDocument(const std::string& path)
{
    if (path == "-")
        return { std::istreambuf_iterator<char>(std::cin), {} };
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        failUsage("cannot read file " + path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::string formatCell(const nlohmann::json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.is_null() ? "-" : value.dump();
}

} // namespace chervilport
