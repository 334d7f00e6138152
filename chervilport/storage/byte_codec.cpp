#include "chervilport/storage/byte_codec.h"

namespace chervilport {

void byte_writer::put8(std::uint8_t value) { put(value, 1); }

void byte_writer::put32(std::uint32_t value) { put(value, 4); }

void byte_writer::put64(std::uint64_t value) { put(value, 8); }

void byte_writer::putText(std::string_view text)
{
    put32(static_cast<std::uint32_t>(text.size()));
    m_bytes.append(text);
}

void byte_writer::put(std::uint64_t value, int count)
{
    for (int i = 0; i < count; ++i)
        m_bytes.push_back(static_cast<char>(value >> (8 * i)));
}

byte_reader::byte_reader(std::string_view bytes)
    : m_rest(bytes)
{
}

std::uint8_t byte_reader::get8() { return static_cast<std::uint8_t>(get(1)); }

std::uint32_t byte_reader::get32() { return static_cast<std::uint32_t>(get(4)); }

std::uint64_t byte_reader::get64() { return get(8); }

std::string byte_reader::getText() { return std::string(take(get32())); }

std::uint64_t byte_reader::get(std::size_t count)
{
    const auto bytes = take(count);
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i > 0; --i)
        value = value << 8 | static_cast<unsigned char>(bytes[i - 1]);
    return value;
}

std::string_view byte_reader::take(std::size_t count)
{
    if (!m_isGood || count > m_rest.size()) {
        m_isGood = false;
        m_rest = {};
        return {};
    }
    const auto bytes = m_rest.substr(0, count);
    m_rest.remove_prefix(count);
    return bytes;
}

} // namespace chervilport
