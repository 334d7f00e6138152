#include "chervilport/storage/log_record.h"

#include "chervilport/storage/byte_codec.h"

#include <utility>

namespace chervilport {

namespace {

    /// First byte of a payload. The values are part of the file format.
    enum class record_kind : std::uint8_t {
        Header = 1,
        Step = 2,
        Base = 3,
        Snapshot = 4,
    };

    void putKind(byte_writer& writer, record_kind kind) { writer.put8(static_cast<std::uint8_t>(kind)); }

    void putHardState(byte_writer& writer, const hard_state& hardState)
    {
        writer.put64(hardState.term);
        writer.put8(hardState.votedFor.has_value() ? 1 : 0);
        writer.put64(hardState.votedFor ? static_cast<std::uint64_t>(*hardState.votedFor) : 0);
    }

    hard_state getHardState(byte_reader& reader)
    {
        hard_state hardState;
        hardState.term = reader.get64();
        const bool voted = reader.get8() != 0;
        const member_id candidate { reader.get64() };
        if (voted)
            hardState.votedFor = candidate;
        return hardState;
    }

    void putMembers(byte_writer& writer, const std::vector<member>& members)
    {
        writer.put32(static_cast<std::uint32_t>(members.size()));
        for (const auto& each : members) {
            writer.put64(static_cast<std::uint64_t>(each.id));
            writer.put64(each.incarnation);
            writer.put8(each.hasDisk ? 1 : 0);
        }
    }

    std::vector<member> getMembers(byte_reader& reader)
    {
        std::vector<member> members;
        const auto count = reader.get32();
        for (std::uint32_t i = 0; i < count && reader.isGood(); ++i) {
            member value;
            value.id = member_id { reader.get64() };
            value.incarnation = reader.get64();
            value.hasDisk = reader.get8() != 0;
            members.push_back(value);
        }
        return members;
    }

    segment_header getHeader(byte_reader& reader)
    {
        segment_header header;
        header.number = reader.get64();
        header.hardState = getHardState(reader);
        header.baseIndex = reader.get64();
        return header;
    }

    step_record getStep(byte_reader& reader)
    {
        step_record step;
        if (reader.get8() != 0)
            step.hardState = getHardState(reader);
        const auto count = reader.get32();
        const auto firstIndex = count != 0 ? reader.get64() : 0;
        for (std::uint32_t i = 0; i < count && reader.isGood(); ++i) {
            log_entry entry;
            entry.index = firstIndex + i;
            entry.term = reader.get64();
            entry.kind = static_cast<entry_kind>(reader.get8());
            entry.payload = reader.getText();
            step.entries.push_back(std::move(entry));
        }
        return step;
    }

    base_record getBase(byte_reader& reader)
    {
        base_record base;
        base.index = reader.get64();
        base.keepsLaterEntries = reader.get8() != 0;
        return base;
    }

} // namespace

std::string encodeHeader(const segment_header& header)
{
    byte_writer writer;
    putKind(writer, record_kind::Header);
    writer.put64(header.number);
    putHardState(writer, header.hardState);
    writer.put64(header.baseIndex);
    return writer.bytes();
}

std::string encodeStep(const std::optional<hard_state>& hardState, std::span<const log_entry> entries)
{
    byte_writer writer;
    putKind(writer, record_kind::Step);
    writer.put8(hardState.has_value() ? 1 : 0);
    if (hardState)
        putHardState(writer, *hardState);
    writer.put32(static_cast<std::uint32_t>(entries.size()));
    if (!entries.empty())
        writer.put64(entries.front().index);
    for (const auto& entry : entries) {
        writer.put64(entry.term);
        writer.put8(static_cast<std::uint8_t>(entry.kind));
        writer.putText(entry.payload);
    }
    return writer.bytes();
}

std::string encodeBase(const base_record& base)
{
    byte_writer writer;
    putKind(writer, record_kind::Base);
    writer.put64(base.index);
    writer.put8(base.keepsLaterEntries ? 1 : 0);
    return writer.bytes();
}

std::optional<log_record> decodeLogRecord(std::string_view payload)
{
    byte_reader reader(payload);
    std::optional<log_record> record;
    switch (static_cast<record_kind>(reader.get8())) {
    case record_kind::Header:
        record = getHeader(reader);
        break;
    case record_kind::Step:
        record = getStep(reader);
        break;
    case record_kind::Base:
        record = getBase(reader);
        break;
    default:
        break;
    }
    if (!reader.isFinished())
        return std::nullopt;
    return record;
}

std::string encodeSnapshot(const snapshot& value)
{
    byte_writer writer;
    putKind(writer, record_kind::Snapshot);
    writer.put64(value.index);
    writer.put64(value.term);
    putMembers(writer, value.members.voters);
    putMembers(writer, value.members.learners);
    writer.putText(value.data);
    return writer.bytes();
}

std::optional<snapshot> decodeSnapshot(std::string_view payload)
{
    byte_reader reader(payload);
    if (static_cast<record_kind>(reader.get8()) != record_kind::Snapshot)
        return std::nullopt;
    snapshot value;
    value.index = reader.get64();
    value.term = reader.get64();
    value.members.voters = getMembers(reader);
    value.members.learners = getMembers(reader);
    value.data = reader.getText();
    if (!reader.isFinished())
        return std::nullopt;
    return value;
}

} // namespace chervilport
