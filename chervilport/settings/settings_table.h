#pragma once

#include "chervilport/settings/settings_error.h"

#include <toml++/toml.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// Reads the keys of one TOML table, collects all errors, and reports keys that were not read. A missing key leaves its
/// value unchanged; so does an invalid one.
class settings_table {
public:
    /// Reads from `table`, which is null if the table is missing. `prefix` is the full key of the table with a final
    /// dot, or empty for the root. `file` and `errors` must outlive the reader.
    settings_table(
        const toml::table* table, std::string prefix, const std::string& file, std::vector<settings_error>& errors);

    /// Reads an integer from `lowest` to `highest`, both inclusive.
    template <typename Integer>
    void read(std::string_view key, Integer& value, std::int64_t lowest, std::int64_t highest)
    {
        std::int64_t number = static_cast<std::int64_t>(value);
        if (readInteger(key, number, lowest, highest))
            value = static_cast<Integer>(number);
    }

    /// Reads a time in milliseconds from `lowest` to `highest`, both inclusive.
    void read(std::string_view key, std::chrono::milliseconds& value, std::int64_t lowest, std::int64_t highest);

    /// Reads a string.
    void read(std::string_view key, std::string& value);

    /// Reads a Boolean.
    void read(std::string_view key, bool& value);

    /// Reads an IP address and a port; an empty string is valid.
    void readAddress(std::string_view key, std::string& value);

    /// Returns the table under the key; null if it is missing. Adds an error and returns null if it is not a table.
    const toml::table* subtable(std::string_view key);

    /// Returns the array under the key; null if it is missing. Adds an error and returns null if it is not an array.
    const toml::array* array(std::string_view key);

    /// Adds an error at a key.
    void fail(std::string_view key, const std::string& message);

    /// Adds an error for every key that was not read.
    void refuseUnknownKeys();

private:
    bool readInteger(std::string_view key, std::int64_t& value, std::int64_t lowest, std::int64_t highest);
    const toml::node* find(std::string_view key);

    const toml::table* m_table;
    std::string m_prefix;
    const std::string& m_file;
    std::vector<settings_error>& m_errors;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace chervilport
