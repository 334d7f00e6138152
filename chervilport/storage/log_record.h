#pragma once

#include "chervilport/consensus/hard_state.h"
#include "chervilport/consensus/log_entry.h"
#include "chervilport/consensus/snapshot.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chervilport {

/// First record of each segment: what the segments before it amount to, so that they can be removed.
struct segment_header {
    /// Number of the segment.
    std::uint64_t number = 0;
    /// Term and vote.
    hard_state hardState;
    /// Last index that a snapshot covers.
    std::uint64_t baseIndex = 0;
};

/// One call of `log_store::persist`.
struct step_record {
    /// Term and vote, if changed.
    std::optional<hard_state> hardState;
    /// Entries to append; the first one drops the entries from its index on.
    std::vector<log_entry> entries;
};

/// A snapshot that covers the log up to an index.
struct base_record {
    /// Last index that the snapshot covers.
    std::uint64_t index = 0;
    /// Whether the entries after it stay; false drops all.
    bool keepsLaterEntries = false;
};

/// A record of a segment.
using log_record = std::variant<segment_header, step_record, base_record>;

/// Returns the payload of a segment header.
std::string encodeHeader(const segment_header&);
/// Returns the payload of a step.
std::string encodeStep(const std::optional<hard_state>&, std::span<const log_entry>);
/// Returns the payload of a base record.
std::string encodeBase(const base_record&);
/// Reads a payload; nothing when it is malformed.
std::optional<log_record> decodeLogRecord(std::string_view payload);

/// Returns the payload of a snapshot file.
std::string encodeSnapshot(const snapshot&);
/// Reads the payload of a snapshot file; nothing when it is malformed.
std::optional<snapshot> decodeSnapshot(std::string_view payload);

} // namespace chervilport
