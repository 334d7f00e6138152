#include "chervilport/instance/json_reader.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/core/json_nesting.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    // Deeper documents are refused before parsing, because they could exhaust the memory.
    constexpr std::size_t maxDepth = 16;

    std::string rangeText(std::int64_t lowest, std::int64_t highest)
    {
        return "must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    }

} // namespace

json_reader::json_reader(const nlohmann::json& object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
    if (!object.is_object())
        throw chervilport_error(
            error_kind::InvalidRequest, (m_path.empty() ? "document" : m_path) + " must be an object");
}

std::string json_reader::text(std::string_view key, std::size_t maxBytes, std::string_view fallback)
{
    const auto* const value = find(key);
    if (!value)
        return std::string(fallback);
    if (!value->is_string())
        fail(key, "must be a string");
    auto found = value->get<std::string>();
    if (found.size() > maxBytes)
        fail(key, "must have at most " + std::to_string(maxBytes) + " bytes");
    return found;
}

std::string json_reader::requiredText(std::string_view key, std::size_t maxBytes)
{
    auto found = text(key, maxBytes);
    if (found.empty())
        fail(key, "is required");
    return found;
}

std::int64_t json_reader::integer(
    std::string_view key, std::int64_t lowest, std::int64_t highest, std::int64_t fallback)
{
    return optionalInteger(key, lowest, highest).value_or(fallback);
}

std::optional<std::int64_t> json_reader::optionalInteger(
    std::string_view key, std::int64_t lowest, std::int64_t highest)
{
    const auto* const value = find(key);
    if (!value)
        return std::nullopt;
    if (!value->is_number_integer())
        fail(key, rangeText(lowest, highest));
    if (value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))
        fail(key, rangeText(lowest, highest));
    const auto found = value->get<std::int64_t>();
    if (found < lowest || found > highest)
        fail(key, rangeText(lowest, highest));
    return found;
}

bool json_reader::boolean(std::string_view key, bool fallback)
{
    const auto* const value = find(key);
    if (!value)
        return fallback;
    if (!value->is_boolean())
        fail(key, "must be true or false");
    return value->get<bool>();
}

const nlohmann::json* json_reader::object(std::string_view key)
{
    const auto* const value = find(key);
    if (value && !value->is_object())
        fail(key, "must be an object");
    return value;
}

const nlohmann::json* json_reader::array(std::string_view key, std::size_t maxItems)
{
    const auto* const value = find(key);
    if (value && (!value->is_array() || value->size() > maxItems))
        fail(key, "must be an array of at most " + std::to_string(maxItems) + " items");
    return value;
}

const nlohmann::json* json_reader::find(std::string_view key)
{
    m_known.emplace(key);
    const auto found = m_object.find(key);
    return found == m_object.end() ? nullptr : &*found;
}

void json_reader::refuseUnknown() const
{
    for (const auto& [key, value] : m_object.items()) {
        if (!m_known.contains(key))
            fail(key, "is unknown");
    }
}

void json_reader::fail(std::string_view key, const std::string& message) const
{
    const auto name = m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
    throw chervilport_error(error_kind::InvalidRequest, name + " " + message);
}

nlohmann::json parseJsonObject(std::string_view text)
{
    if (isNestedDeeperThan(text, maxDepth))
        throw chervilport_error(error_kind::InvalidRequest, "the body is nested too deeply");
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        throw chervilport_error(error_kind::InvalidRequest, "the body is not valid JSON");
    if (!document.is_object())
        throw chervilport_error(error_kind::InvalidRequest, "the body must be a JSON object");
    return document;
}

} // namespace chervilport
