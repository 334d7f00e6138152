#pragma once

#include "chervilport/routing/slot_share.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes a report to the leader of the failure domain.
std::string encodeShareReport(const share_report&);

/// Decodes a report. Throws chervilport_error of kind InvalidRequest if the bytes are not a complete report.
share_report decodeShareReport(std::string_view bytes);

/// Encodes the grant with which the leader replies to a report.
std::string encodeShareGrant(const share_grant&);

/// Decodes a grant. Throws chervilport_error of kind InvalidRequest if the bytes are not a complete grant.
share_grant decodeShareGrant(std::string_view bytes);

} // namespace chervilport
