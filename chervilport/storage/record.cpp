#include "chervilport/storage/record.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/core/error_kind.h"
#include "chervilport/storage/byte_codec.h"

#include <algorithm>
#include <xxhash.h>

namespace chervilport {

namespace {

    /// First bytes of each record, used to find valid records after a damaged one.
    constexpr std::uint32_t recordMagic = 0xC4E57A1B;

    /// Smallest unit that a disk writes atomically, in bytes.
    constexpr std::size_t sectorBytes = 512;

    std::uint64_t checksumOf(std::uint64_t fileNumber, std::uint64_t offset, std::string_view payload)
    {
        byte_writer position;
        position.put64(fileNumber);
        position.put64(offset);
        position.put64(payload.size());
        const auto seed = XXH3_64bits(position.bytes().data(), position.bytes().size());
        return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
    }

    /// Returns whether a sector of the file at or after `offset` consists of zeros; of the first sector, only the part
    /// from `offset` counts.
    bool hasUnwrittenSector(std::string_view content, std::size_t offset)
    {
        while (offset < content.size()) {
            const auto end = std::min(content.size(), (offset / sectorBytes + 1) * sectorBytes);
            const auto sector = content.substr(offset, end - offset);
            if (sector.find_first_not_of('\0') == std::string_view::npos)
                return true;
            offset = end;
        }
        return false;
    }

    /// Returns whether a valid record starts at or after `offset`.
    bool hasRecordFrom(std::uint64_t fileNumber, std::string_view content, std::size_t offset)
    {
        byte_writer magic;
        magic.put32(recordMagic);
        for (auto found = content.find(magic.bytes(), offset); found != std::string_view::npos;
             found = content.find(magic.bytes(), found + 1)) {
            if (scanRecord(fileNumber, content, found).valid)
                return true;
        }
        return false;
    }

} // namespace

std::string encodeRecord(std::uint64_t fileNumber, std::uint64_t offset, std::string_view payload)
{
    if (payload.size() > maxPayloadBytes)
        throw chervilport_error(error_kind::TooLarge,
            "log record payload of " + std::to_string(payload.size()) + " bytes exceeds the limit of "
                + std::to_string(maxPayloadBytes));
    byte_writer header;
    header.put32(recordMagic);
    header.put32(static_cast<std::uint32_t>(payload.size()));
    header.put64(checksumOf(fileNumber, offset, payload));
    std::string record;
    record.reserve(recordHeaderBytes + payload.size());
    record.append(header.bytes());
    record.append(payload);
    return record;
}

record_scan scanRecord(std::uint64_t fileNumber, std::string_view content, std::size_t offset)
{
    byte_reader header(content.substr(offset));
    const auto magic = header.get32();
    const auto length = header.get32();
    const auto checksum = header.get64();
    if (!header.isGood() || magic != recordMagic || length > header.remaining())
        return {};
    const auto payload = content.substr(offset + recordHeaderBytes, length);
    if (checksumOf(fileNumber, offset, payload) != checksum)
        return {};
    return { true, payload, offset + recordHeaderBytes + length };
}

bool isTornTail(std::uint64_t fileNumber, std::string_view content, std::size_t offset)
{
    if (hasRecordFrom(fileNumber, content, offset + 1))
        return false;
    byte_reader header(content.substr(offset));
    const auto magic = header.get32();
    const auto length = header.get32();
    header.get64();
    if (!header.isGood() || (magic == recordMagic && length > header.remaining()))
        return true;
    return hasUnwrittenSector(content, offset);
}

} // namespace chervilport
