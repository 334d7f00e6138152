#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilport {

/// Appends numbers, least significant byte first, and texts to a buffer.
class byte_writer {
public:
    /// Appends a number of one byte.
    void put8(std::uint8_t);
    /// Appends a number of four bytes.
    void put32(std::uint32_t);
    /// Appends a number of eight bytes.
    void put64(std::uint64_t);
    /// Appends a text with its length of four bytes.
    void putText(std::string_view);

    /// Returns the bytes.
    const std::string& bytes() const { return m_bytes; }

private:
    void put(std::uint64_t value, int count);

    std::string m_bytes;
};

/// Reads what `byte_writer` wrote. After a read beyond the end, all reads return zero and `good` is false.
class byte_reader {
public:
    /// Reads from bytes that outlive the reader.
    explicit byte_reader(std::string_view);

    /// Reads a number of one byte.
    std::uint8_t get8();
    /// Reads a number of four bytes.
    std::uint32_t get32();
    /// Reads a number of eight bytes.
    std::uint64_t get64();
    /// Reads a text.
    std::string getText();

    /// Returns whether all reads were within the bytes.
    bool isGood() const { return m_isGood; }
    /// Returns whether all reads were within the bytes and none is left.
    bool isFinished() const { return m_isGood && m_rest.empty(); }
    /// Returns the number of bytes left.
    std::size_t remaining() const { return m_rest.size(); }

private:
    std::uint64_t get(std::size_t count);
    std::string_view take(std::size_t count);

    std::string_view m_rest;
    bool m_isGood = true;
};

} // namespace chervilport
