#include "chervilport/configuration/document_difference.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

namespace chervilport {

namespace {

    using value_map = std::map<std::string, document_value>;

    void collect(const toml::node& node, const std::string& path, value_map& values);

    void collectTable(const toml::table& table, const std::string& path, value_map& values)
    {
        for (const auto& [key, node] : table)
            collect(node, path.empty() ? std::string(key.str()) : path + '.' + std::string(key.str()), values);
    }

    void collect(const toml::node& node, const std::string& path, value_map& values)
    {
        if (const auto* table = node.as_table()) {
            collectTable(*table, path, values);
            return;
        }
        const auto* array = node.as_array();
        if (array && array->is_array_of_tables()) {
            for (std::size_t i = 0; i < array->size(); ++i) {
                const auto& element = *array->get(i)->as_table();
                collectTable(element, path + '.' + element["name"].value_or(std::to_string(i)), values);
            }
            return;
        }
        std::ostringstream text;
        node.visit([&text](const auto& concrete) { text << concrete; });
        values[path] = { text.str(), static_cast<std::int32_t>(node.source().begin.line) };
    }

    std::string textAt(const value_map& values, const std::string& key)
    {
        const auto found = values.find(key);
        return found == values.end() ? std::string() : found->second.text;
    }

} // namespace

value_map documentValues(std::string_view document)
{
    value_map values;
    try {
        collectTable(toml::parse(document), {}, values);
    } catch (const toml::parse_error&) {
        return {};
    }
    return values;
}

std::int32_t lineOf(const value_map& values, const std::string& key)
{
    std::int32_t first = 0;
    for (auto value = values.lower_bound(key); value != values.end() && value->first.starts_with(key); ++value) {
        const bool isAtOrBelow = value->first.size() == key.size() || value->first[key.size()] == '.';
        if (isAtOrBelow && (first == 0 || value->second.line < first))
            first = value->second.line;
    }
    return first;
}

std::vector<document_difference> documentDifferences(std::string_view before, std::string_view after, std::size_t limit)
{
    const auto old = documentValues(before);
    const auto next = documentValues(after);
    auto all = old;
    all.insert(next.begin(), next.end());
    std::vector<document_difference> differences;
    for (const auto& [key, unused] : all) {
        document_difference difference { key, textAt(old, key), textAt(next, key) };
        if (difference.before != difference.after && differences.size() < limit)
            differences.push_back(std::move(difference));
    }
    return differences;
}

} // namespace chervilport
