#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chervilport {

/// Writes numbers and texts as one flat CBOR array. Has the same functions as `field_reader`, so that one list of
/// fields serves both directions.
class field_writer {
public:
    field_writer();
    ~field_writer();
    field_writer(const field_writer&) = delete;
    field_writer& operator=(const field_writer&) = delete;

    /// Writes a number.
    void number(std::int64_t& value);
    /// Writes a text.
    void text(std::string& value);
    /// Writes the number of elements that follow and returns it.
    std::size_t size(std::size_t count);

    /// Returns the bytes.
    std::string bytes() const;

private:
    struct fields;
    std::unique_ptr<fields> m_fields;
};

/// Reads what a `field_writer` wrote. All functions throw chervilport_error of kind StorageFailure when the bytes hold
/// something else or nothing more.
class field_reader {
public:
    /// Decodes the bytes.
    explicit field_reader(std::string_view bytes);
    ~field_reader();
    field_reader(const field_reader&) = delete;
    field_reader& operator=(const field_reader&) = delete;

    /// Reads a number.
    void number(std::int64_t& value);
    /// Reads a text.
    void text(std::string& value);
    /// Reads and returns the number of elements that follow; never more than there are fields left.
    std::size_t size(std::size_t ignored);

    /// Checks that nothing is left.
    void finish() const;

private:
    struct fields;
    std::unique_ptr<fields> m_fields;
};

/// Throws the error of bytes that are not what they should be.
[[noreturn]] void throwBadBytes(const std::string& what);

} // namespace chervilport
