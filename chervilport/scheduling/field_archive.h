#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chervilport {

/// Writes numbers and strings as one flat CBOR array. Has the same functions as `field_reader`, so that both share one
/// list of fields.
class field_writer {
public:
    field_writer();
    ~field_writer();
    field_writer(const field_writer&) = delete;
    field_writer& operator=(const field_writer&) = delete;

    /// Writes a number.
    void number(std::int64_t& value);
    /// Writes a string.
    void text(std::string& value);
    /// Writes the number of elements that follow and returns it.
    std::size_t size(std::size_t count);
    /// Returns true: optional fields at the end are always written.
    static bool hasMore() { return true; }

    /// Returns the encoded bytes.
    std::string bytes() const;

private:
    struct fields;
    std::unique_ptr<fields> m_fields;
};

/// Reads the output of a `field_writer`. All functions throw chervilport_error of kind StorageFailure when the next
/// field is missing or has another type.
class field_reader {
public:
    /// Decodes the bytes.
    explicit field_reader(std::string_view bytes);
    ~field_reader();
    field_reader(const field_reader&) = delete;
    field_reader& operator=(const field_reader&) = delete;

    /// Reads a number.
    void number(std::int64_t& value);
    /// Reads a string.
    void text(std::string& value);
    /// Reads and returns the number of elements that follow; at most the number of remaining fields.
    std::size_t size(std::size_t ignored);
    /// Returns whether optional fields follow.
    bool hasMore() const;

    /// Checks that no field remains.
    void finish() const;

private:
    struct fields;
    std::unique_ptr<fields> m_fields;
};

/// Throws chervilport_error of kind StorageFailure for bytes that cannot be decoded.
[[noreturn]] void throwDecodeError(const std::string& what);

} // namespace chervilport
