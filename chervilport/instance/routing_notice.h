#pragma once

#include "chervilport/routing/slot_share.h"
#include "chervilport/routing/upstream_announcement.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chervilport {

/// Announcements of executors, broadcast within a failure domain by the instance that received them.
struct announcement_batch {
    /// The announcements; among equal ids the newest one applies.
    std::vector<upstream_announcement> announcements;
    /// Incarnations of executors that an operator has drained; they stay drained regardless of their announcements.
    std::vector<upstream_id> drained;
};

/// A notice about routing between instances of a domain.
using routing_notice = std::variant<announcement_batch, share_report, share_grant>;

/// Encodes a notice as one byte of kind and CBOR arrays. Maps with member names would double its size at 50 executors.
std::string encodeRoutingNotice(const routing_notice&);

/// Decodes a notice. Throws chervilport_error of kind Internal on invalid bytes.
routing_notice decodeRoutingNotice(std::string_view bytes);

} // namespace chervilport
