#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilport {

/// Size of a record header in bytes: magic number, payload length, checksum.
inline constexpr std::size_t recordHeaderBytes = 16;

/// Maximum size of the payload of a record, in bytes.
inline constexpr std::size_t maxPayloadBytes = std::size_t { 1 } << 30;

/// Encodes a payload as a record for the given offset of a file. The checksum covers the file number, the offset and
/// the length as well, so that a record is valid only where it was written. Throws chervilport_error `TooLarge` when
/// the payload exceeds `maxPayloadBytes`.
std::string encodeRecord(std::uint64_t fileNumber, std::uint64_t offset, std::string_view payload);

/// Result of reading a record at an offset of a file.
struct record_scan {
    /// Whether a valid record starts at the offset.
    bool valid = false;
    /// Payload of the record, a view of the content passed in.
    std::string_view payload;
    /// Offset after the record.
    std::size_t next = 0;
};

/// Reads and verifies the record at an offset.
record_scan scanRecord(std::uint64_t fileNumber, std::string_view content, std::size_t offset);

/// Returns whether the bytes from `offset`, where no valid record starts, can result from a crash during a write that
/// was never synced: no valid record follows, and the record extends beyond the end of the file or has a sector that
/// was not written and reads as zeros. Anything else is damage to synced data.
bool isTornTail(std::uint64_t fileNumber, std::string_view content, std::size_t offset);

} // namespace chervilport
