#include "chervilport/settings/settings_table.h"

#include "chervilport/settings/settings_reader.h"

#include <utility>

namespace chervilport {

settings_table::settings_table(
    const toml::table* table, std::string prefix, const std::string& file, std::vector<settings_error>& errors)
    : m_table(table)
    , m_prefix(std::move(prefix))
    , m_file(file)
    , m_errors(errors)
{
}

void settings_table::read(
    std::string_view key, std::chrono::milliseconds& value, std::int64_t lowest, std::int64_t highest)
{
    std::int64_t number = value.count();
    if (readInteger(key, number, lowest, highest))
        value = std::chrono::milliseconds(number);
}

void settings_table::read(std::string_view key, std::string& value)
{
    const auto* const node = find(key);
    if (!node)
        return;
    if (const auto text = node->value_exact<std::string>())
        value = *text;
    else
        fail(key, "must be a string in quotes");
}

void settings_table::read(std::string_view key, bool& value)
{
    const auto* const node = find(key);
    if (!node)
        return;
    if (const auto flag = node->value_exact<bool>())
        value = *flag;
    else
        fail(key, "must be true or false");
}

void settings_table::readAddress(std::string_view key, std::string& value)
{
    std::string text = value;
    const auto errorCount = m_errors.size();
    read(key, text);
    if (m_errors.size() != errorCount)
        return;
    if (!text.empty() && !isIpAddressAndPort(text)) {
        fail(key,
            "must be an IP address and a port from 0 to 65535, such as \"127.0.0.1:7400\"; host names are not allowed; "
            "got \""
                + text + "\"");
        return;
    }
    value = text;
}

const toml::table* settings_table::subtable(std::string_view key)
{
    const auto* const node = find(key);
    if (!node)
        return nullptr;
    if (!node->is_table())
        fail(key, "must be a table");
    return node->as_table();
}

const toml::array* settings_table::array(std::string_view key)
{
    const auto* const node = find(key);
    if (!node)
        return nullptr;
    if (!node->is_array())
        fail(key, "must be an array");
    return node->as_array();
}

void settings_table::fail(std::string_view key, const std::string& message)
{
    const auto* const node = m_table ? m_table->get(key) : nullptr;
    const auto line = node ? static_cast<std::uint32_t>(node->source().begin.line) : 0;
    m_errors.push_back({ m_file, line, m_prefix + std::string(key), message });
}

void settings_table::refuseUnknownKeys()
{
    if (!m_table)
        return;
    for (const auto& [key, node] : *m_table) {
        if (!m_readKeys.contains(key.str()))
            fail(key.str(), "unknown key");
    }
}

bool settings_table::readInteger(std::string_view key, std::int64_t& value, std::int64_t lowest, std::int64_t highest)
{
    const auto* const node = find(key);
    if (!node)
        return false;
    const auto number = node->value_exact<std::int64_t>();
    if (number && *number >= lowest && *number <= highest) {
        value = *number;
        return true;
    }
    fail(key, "must be a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return false;
}

const toml::node* settings_table::find(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table ? m_table->get(key) : nullptr;
}

} // namespace chervilport
