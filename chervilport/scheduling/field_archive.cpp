#include "chervilport/scheduling/field_archive.h"

#include "chervilport/core/chervilport_error.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

struct field_writer::fields {
    nlohmann::json values = nlohmann::json::array();
};

struct field_reader::fields {
    nlohmann::json values;
    std::size_t position = 0;

    const nlohmann::json& next()
    {
        if (position >= values.size())
            throwDecodeError("the data ends after " + std::to_string(position) + " fields");
        return values[position++];
    }
};

void throwDecodeError(const std::string& what)
{
    throw chervilport_error(error_kind::StorageFailure, "scheduling data cannot be decoded: " + what);
}

field_writer::field_writer()
    : m_fields(std::make_unique<fields>())
{
}

field_writer::~field_writer() = default;

void field_writer::number(std::int64_t& value) { m_fields->values.push_back(value); }

void field_writer::text(std::string& value)
{
    // CBOR text strings are UTF-8, but names may hold any bytes, so they are written as byte strings.
    m_fields->values.push_back(
        nlohmann::json::binary(nlohmann::json::binary_t::container_type(value.begin(), value.end())));
}

std::size_t field_writer::size(std::size_t count)
{
    m_fields->values.push_back(static_cast<std::int64_t>(count));
    return count;
}

std::string field_writer::bytes() const
{
    std::string bytes;
    nlohmann::json::to_cbor(m_fields->values, bytes);
    return bytes;
}

field_reader::field_reader(std::string_view bytes)
    : m_fields(std::make_unique<fields>())
{
    constexpr bool strict = true;
    constexpr bool allowExceptions = false;
    m_fields->values = nlohmann::json::from_cbor(bytes.begin(), bytes.end(), strict, allowExceptions);
    if (!m_fields->values.is_array())
        throwDecodeError("the data is not a CBOR array");
}

field_reader::~field_reader() = default;

void field_reader::number(std::int64_t& value)
{
    const auto& field = m_fields->next();
    if (!field.is_number_integer())
        throwDecodeError("field " + std::to_string(m_fields->position - 1) + " is not a number");
    value = field.get<std::int64_t>();
}

void field_reader::text(std::string& value)
{
    const auto& field = m_fields->next();
    if (!field.is_binary())
        throwDecodeError("field " + std::to_string(m_fields->position - 1) + " is not a byte string");
    value.assign(field.get_binary().begin(), field.get_binary().end());
}

std::size_t field_reader::size(std::size_t)
{
    std::int64_t count = 0;
    number(count);
    if (count < 0 || static_cast<std::size_t>(count) > m_fields->values.size() - m_fields->position)
        throwDecodeError("element count " + std::to_string(count) + " is out of range");
    return static_cast<std::size_t>(count);
}

bool field_reader::hasMore() const { return m_fields->position < m_fields->values.size(); }

void field_reader::finish() const
{
    if (m_fields->position != m_fields->values.size())
        throwDecodeError(std::to_string(m_fields->values.size() - m_fields->position) + " fields are left over");
}

} // namespace chervilport
