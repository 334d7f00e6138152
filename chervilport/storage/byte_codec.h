#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilport {

/// Encodes little-endian numbers and texts into a buffer.
class byte_writer {
public:
    /// Appends a number of one byte.
    void put8(std::uint8_t);
    /// Appends a number of four bytes.
    void put32(std::uint32_t);
    /// Appends a number of eight bytes.
    void put64(std::uint64_t);
    /// Appends the length of a text, as a number of four bytes, and the text.
    void putText(std::string_view);

    /// Returns the encoded bytes.
    const std::string& bytes() const { return m_bytes; }

private:
    void put(std::uint64_t value, int count);

    std::string m_bytes;
};

/// Decodes the output of `byte_writer`. After a read beyond the end, all reads return zero or an empty text, and
/// `isGood` returns false.
class byte_reader {
public:
    /// Reads from the given bytes, which must outlive the reader.
    explicit byte_reader(std::string_view);

    /// Reads a number of one byte.
    std::uint8_t get8();
    /// Reads a number of four bytes.
    std::uint32_t get32();
    /// Reads a number of eight bytes.
    std::uint64_t get64();
    /// Reads a text with its length.
    std::string getText();

    /// Returns whether all reads were within the bytes.
    bool isGood() const { return m_isGood; }
    /// Returns whether all reads were within the bytes and no bytes remain.
    bool isFinished() const { return m_isGood && m_rest.empty(); }
    /// Returns the number of remaining bytes.
    std::size_t remaining() const { return m_rest.size(); }

private:
    std::uint64_t get(std::size_t count);
    std::string_view take(std::size_t count);

    std::string_view m_rest;
    bool m_isGood = true;
};

} // namespace chervilport
