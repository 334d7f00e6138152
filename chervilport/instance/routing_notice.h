#pragma once

#include "chervilport/routing/slot_share.h"
#include "chervilport/routing/upstream_announcement.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chervilport {

/// Announcements of executors that an instance received or learned; they spread inside a failure domain.
struct announcement_batch {
    /// The announcements; of equal ids the newest counts.
    std::vector<upstream_announcement> announcements;
    /// Lives of executors that an operator has drained; they stay drained whatever they announce.
    std::vector<upstream_id> drained;
};

/// A notice between instances of a domain about routing.
using routing_notice = std::variant<announcement_batch, share_report, share_grant>;

/// Encodes a notice as a byte of kind and CBOR arrays, because at 50 executors names of members would double its size.
std::string encodeRoutingNotice(const routing_notice&);

/// Decodes a notice. Throws chervilport_error of kind Internal on bytes that are none.
routing_notice decodeRoutingNotice(std::string_view bytes);

} // namespace chervilport
