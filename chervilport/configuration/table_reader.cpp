#include "chervilport/configuration/table_reader.h"

#include <algorithm>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::size_t maxNameBytes = 63;
    constexpr std::string_view nameRule = "1 to 63 lower-case letters, digits and hyphens";

    std::int32_t lineOf(const toml::node& node)
    {
        return std::max(1, static_cast<std::int32_t>(node.source().begin.line));
    }

    bool isName(std::string_view text)
    {
        return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), [](char letter) {
            return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
        });
    }

    template <typename Items> std::string joined(const Items& items)
    {
        std::string text;
        for (const auto& item : items) {
            text += text.empty() ? "" : ", ";
            text += item;
        }
        return text;
    }

    const toml::table emptyTable;

} // namespace

std::string toString(const integer_range& range)
{
    return std::to_string(range.smallest) + " to " + std::to_string(range.largest);
}

table_reader::table_reader(const toml::table& table, std::string path, std::vector<config_problem>& problems)
    : m_table(&table)
    , m_path(std::move(path))
    , m_problems(&problems)
{
}

std::int64_t table_reader::integer(std::string_view key, integer_range range, std::optional<std::int64_t> fallback)
{
    const auto* node = find(key);
    const auto value = node ? node->value_exact<std::int64_t>() : fallback;
    if (value && (!node || (*value >= range.smallest && *value <= range.largest)))
        return *value;
    addProblem(key, toString(range));
    return fallback.value_or(range.smallest);
}

std::string table_reader::name(std::string_view key)
{
    const auto* node = find(key);
    const auto value = node ? node->value_exact<std::string>() : std::nullopt;
    if (value && isName(*value))
        return *value;
    addProblem(key, std::string(nameRule));
    return {};
}

std::vector<std::string> table_reader::names(std::string_view key)
{
    const auto* node = find(key);
    const auto* array = node ? node->as_array() : nullptr;
    std::vector<std::string> read;
    bool valid = array && !array->empty();
    for (std::size_t i = 0; valid && i < array->size(); ++i) {
        const auto value = array->get(i)->value_exact<std::string>();
        valid = value && isName(*value) && std::find(read.begin(), read.end(), *value) == read.end();
        read.push_back(value.value_or(""));
    }
    if (!valid)
        addProblem(key, "different names, each of " + std::string(nameRule));
    return read;
}

std::size_t table_reader::choice(std::string_view key, std::span<const std::string_view> choices)
{
    const auto* node = find(key);
    if (!node)
        return 0;
    const auto found = std::find(choices.begin(), choices.end(), node->value_exact<std::string>().value_or(""));
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    addProblem(key, joined(choices));
    return 0;
}

table_reader table_reader::table(std::string_view key)
{
    const auto* node = find(key);
    if (node && !node->is_table())
        addProblem(key, "a table");
    return { node && node->is_table() ? *node->as_table() : emptyTable, pathOf(key), *m_problems };
}

std::vector<table_reader> table_reader::tables(std::string_view key)
{
    const auto* node = find(key);
    if (!node)
        return {};
    const auto* array = node->as_array();
    if (!array || !array->is_array_of_tables()) {
        addProblem(key, "an array of tables");
        return {};
    }
    std::vector<table_reader> readers;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < array->size(); ++i) {
        const auto& element = *array->get(i)->as_table();
        const auto elementName = element["name"].value_or(std::string());
        readers.emplace_back(
            element, pathOf(key) + '.' + (elementName.empty() ? std::to_string(i) : elementName), *m_problems);
        if (!elementName.empty() && !seen.insert(elementName).second)
            readers.back().addProblem("name", "a name that no other element has");
    }
    return readers;
}

void table_reader::addProblem(std::string_view key, std::string allowed)
{
    const auto* node = key.empty() ? nullptr : m_table->get(key);
    m_problems->push_back({ lineOf(node ? *node : *m_table), pathOf(key), std::move(allowed) });
}

void table_reader::rejectUnknownKeys()
{
    for (const auto& [key, node] : *m_table) {
        if (!m_readKeys.contains(key.str()))
            m_problems->push_back({ lineOf(node), pathOf(key.str()), "only the keys " + joined(m_readKeys) });
    }
}

const toml::node* table_reader::find(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_table->get(key);
}

std::string table_reader::pathOf(std::string_view key) const
{
    if (m_path.empty() || key.empty())
        return m_path + std::string(key);
    return m_path + '.' + std::string(key);
}

} // namespace chervilport
