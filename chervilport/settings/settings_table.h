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

/// Reads the keys of one TOML table, notes every fault, and reports keys that nobody asked for.
class settings_table {
public:
    /// Reads from `table`, which may be null for a missing one. `prefix` is the full key of the table, ending in a dot.
    settings_table(
        const toml::table* table, std::string prefix, const std::string& file, std::vector<settings_error>& errors);

    /// Reads a whole number within the bounds, both included.
    template <typename Integer>
    void read(std::string_view key, Integer& value, std::int64_t lowest, std::int64_t highest)
    {
        std::int64_t number = static_cast<std::int64_t>(value);
        if (readInteger(key, number, lowest, highest))
            value = static_cast<Integer>(number);
    }

    /// Reads a time in milliseconds within the bounds, both included.
    void read(std::string_view key, std::chrono::milliseconds& value, std::int64_t lowest, std::int64_t highest);

    /// Reads a text.
    void read(std::string_view key, std::string& value);

    /// Reads a truth value.
    void read(std::string_view key, bool& value);

    /// Reads an IP address and port.
    void readAddress(std::string_view key, std::string& value);

    /// Returns a table below this one, or null.
    const toml::table* subtable(std::string_view key);

    /// Returns an array below this one, or null.
    const toml::array* array(std::string_view key);

    /// Notes a fault at a key.
    void fail(std::string_view key, const std::string& message);

    /// Notes every key that was not read as unknown.
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
