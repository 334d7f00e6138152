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

/// First record of each segment. Carries the state from earlier segments that is needed after they are removed.
struct segment_header {
    /// Number of the segment.
    std::uint64_t number = 0;
    /// Term and vote before the first step of the segment.
    hard_state hardState;
    /// Last index covered by a snapshot.
    std::uint64_t baseIndex = 0;
};

/// Term, vote and entries written by one call of `log_store::persist`.
struct step_record {
    /// Term and vote, if changed.
    std::optional<hard_state> hardState;
    /// Entries to append. Stored entries from the first index on are dropped.
    std::vector<log_entry> entries;
};

/// Records that a snapshot covers the log up to an index.
struct base_record {
    /// Last index that the snapshot covers.
    std::uint64_t index = 0;
    /// Whether the entries after `index` are kept; otherwise all entries are dropped.
    bool keepsLaterEntries = false;
};

/// A record of a segment.
using log_record = std::variant<segment_header, step_record, base_record>;

/// Encodes the payload of a segment header.
std::string encodeHeader(const segment_header&);
/// Encodes the payload of a step.
std::string encodeStep(const std::optional<hard_state>&, std::span<const log_entry>);
/// Encodes the payload of a base record.
std::string encodeBase(const base_record&);
/// Decodes the payload of a record of a segment. Returns nothing when it is malformed.
std::optional<log_record> decodeLogRecord(std::string_view payload);

/// Encodes the payload of a snapshot file.
std::string encodeSnapshot(const snapshot&);
/// Decodes the payload of a snapshot file. Returns nothing when it is malformed.
std::optional<snapshot> decodeSnapshot(std::string_view payload);

} // namespace chervilport
