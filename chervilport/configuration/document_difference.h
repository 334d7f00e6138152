#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilport {

/// A key whose value differs between two documents.
struct document_difference {
    /// Path of the key, as in `config_problem`.
    std::string key;
    /// Value in the first document as TOML; empty when the key is absent.
    std::string before;
    /// Value in the second document as TOML; empty when the key is absent.
    std::string after;

    friend bool operator==(const document_difference&, const document_difference&) = default;
};

/// A value of a document and the line on which it starts.
struct document_value {
    /// Value as TOML.
    std::string text;
    /// Line in the document, from 1.
    std::int32_t line = 0;
};

/// Returns all values of a TOML document by the path of their key; an empty map when it cannot be parsed.
std::map<std::string, document_value> documentValues(std::string_view document);

/// Returns the first line of a key or of any key below it, or 0 when neither exists.
std::int32_t lineOf(const std::map<std::string, document_value>&, const std::string& key);

/// Returns the first `limit` differences between two documents, ordered by key.
std::vector<document_difference> documentDifferences(
    std::string_view before, std::string_view after, std::size_t limit);

} // namespace chervilport
