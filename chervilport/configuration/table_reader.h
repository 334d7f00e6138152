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

/// Inclusive range of allowed values.
struct integer_range {
    std::int64_t smallest = 0;
    std::int64_t largest = 0;
};

/// Returns "A to B".
std::string toString(const integer_range&);

/// Reads the keys of a TOML table and records every problem. Include this header only in .cpp files.
class table_reader {
public:
    /// Reads `table`, whose path in the document is `path`. Appends problems to `problems`. Both must outlive the
    /// reader.
    table_reader(const toml::table& table, std::string path, std::vector<config_problem>& problems);

    /// Reads an integer; the key is required if there is no fallback. Returns the fallback or the smallest value after
    /// a problem.
    std::int64_t integer(std::string_view key, integer_range, std::optional<std::int64_t> fallback = std::nullopt);

    /// Reads a required name: 1 to 63 lower-case letters, digits and hyphens.
    std::string name(std::string_view key);

    /// Reads a required array of distinct names.
    std::vector<std::string> names(std::string_view key);

    /// Reads one of the choices and returns its index; 0 when the key is absent or after a problem.
    std::size_t choice(std::string_view key, std::span<const std::string_view> choices);

    /// Returns a reader of the table under a key; a reader of an empty table when the key is absent.
    table_reader table(std::string_view key);

    /// Returns one reader per element of an array of tables; none when the key is absent. The path of an element uses
    /// its name, which must be unique, or its index when it has no name.
    std::vector<table_reader> tables(std::string_view key);

    /// Records a problem at a key, or at the table itself for an empty key.
    void addProblem(std::string_view key, std::string allowed);

    /// Records a problem for every key that was not read.
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
