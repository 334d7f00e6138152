#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace chervilport {

/// Reads the members of a JSON object strictly. Wrong types, values out of range and unknown members throw
/// chervilport_error of kind InvalidRequest that names the member.
class json_reader {
public:
    /// Reads from an object, which must outlive the reader; `path` is its name in messages, empty for the whole
    /// document.
    json_reader(const nlohmann::json& object, std::string path);

    /// Returns a string of at most `maxBytes` bytes, or the fallback when the member is missing.
    std::string text(std::string_view key, std::size_t maxBytes, std::string_view fallback = {});

    /// Returns a string of at most `maxBytes` bytes, which must be present and not empty.
    std::string requiredText(std::string_view key, std::size_t maxBytes);

    /// Returns an integer within the inclusive bounds, or the fallback when the member is missing.
    std::int64_t integer(std::string_view key, std::int64_t lowest, std::int64_t highest, std::int64_t fallback);

    /// Returns an integer within the inclusive bounds, or nothing when the member is missing.
    std::optional<std::int64_t> optionalInteger(std::string_view key, std::int64_t lowest, std::int64_t highest);

    /// Returns a Boolean, or the fallback when the member is missing.
    bool boolean(std::string_view key, bool fallback);

    /// Returns a member that is an object, or null when it is missing.
    const nlohmann::json* object(std::string_view key);

    /// Returns a member that is an array of at most `maxItems`, or null when it is missing.
    const nlohmann::json* array(std::string_view key, std::size_t maxItems);

    /// Returns a member of any type, or null when it is missing.
    const nlohmann::json* find(std::string_view key);

    /// Throws when the object has members that were not read.
    void refuseUnknown() const;

private:
    [[noreturn]] void fail(std::string_view key, const std::string& message) const;

    const nlohmann::json& m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
};

/// Parses a document whose top level is an object. Throws chervilport_error of kind InvalidRequest.
nlohmann::json parseJsonObject(std::string_view text);

} // namespace chervilport
