#pragma once

#include "chervilport/configuration/config_problem.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace chervilport {

/// Smallest and largest value allowed.
struct integer_range {
    std::int64_t smallest = 0;
    std::int64_t largest = 0;
};

/// Returns "A to B".
std::string toString(const integer_range&);

/// Reads the keys of a TOML table and notes every problem. Included only by .cpp files.
class table_reader {
public:
    /// Reads `table`, which stands at `path`; problems are added to `problems`, which outlives the reader.
    table_reader(const toml::table& table, std::string path, std::vector<config_problem>& problems);

    /// Reads an integer; without a fallback the key is required. A problem gives the fallback or the smallest value.
    std::int64_t integer(std::string_view key, integer_range, std::optional<std::int64_t> fallback = std::nullopt);

    /// Reads a required name: 1 to 63 lower-case letters, digits and hyphens.
    std::string name(std::string_view key);

    /// Reads a required array of different names.
    std::vector<std::string> names(std::string_view key);

    /// Reads one of the choices and returns its position; the first one when the key is absent.
    std::size_t choice(std::string_view key, std::span<const std::string_view> choices);

    /// Returns a reader of the table under a key; of an empty table when it is absent.
    table_reader table(std::string_view key);

    /// Returns readers of an array of tables; none when it is absent. Elements are known by their name, if they have
    /// one, which must be unique.
    std::vector<table_reader> tables(std::string_view key);

    /// Notes a problem at a key that was read, or at the table itself for an empty key.
    void addProblem(std::string_view key, std::string allowed);

    /// Notes every key that was not read.
    void rejectUnknownKeys();

private:
    const toml::node* find(std::string_view key);
    std::string pathOf(std::string_view key) const;

    const toml::table* m_table;
    std::string m_path;
    std::vector<config_problem>* m_problems;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace chervilport
