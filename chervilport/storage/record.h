#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilport {

/// Bytes of a record before its payload: mark, payload length, checksum.
inline constexpr std::size_t recordHeaderBytes = 16;

/// Largest payload of a record.
inline constexpr std::size_t maxPayloadBytes = std::size_t { 1 } << 30;

/// Returns a payload as a record at the given offset of a file. The checksum covers the number of the file, the offset
/// and the length, so that a record is valid at its own place only. Throws chervilport_error `TooLarge`.
std::string encodeRecord(std::uint64_t fileNumber, std::uint64_t offset, std::string_view payload);

/// What is found at an offset of a file.
struct record_scan {
    /// Whether a valid record starts there.
    bool valid = false;
    /// Its payload.
    std::string_view payload;
    /// Offset after it.
    std::size_t next = 0;
};

/// Looks for a record at an offset.
record_scan scanRecord(std::uint64_t fileNumber, std::string_view content, std::size_t offset);

/// Returns whether the bytes from `offset`, where no valid record starts, can be what a crash leaves of a write that
/// was never synced: the record reaches beyond the end of the file, or a sector of it was not written and reads as
/// zeros, and no valid record follows. Anything else is damage to synced data.
bool isTornTail(std::uint64_t fileNumber, std::string_view content, std::size_t offset);

} // namespace chervilport
