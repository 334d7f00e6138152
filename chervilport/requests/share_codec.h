#pragma once

#include "chervilport/routing/slot_share.h"

#include <string>
#include <string_view>

namespace chervilport {

/// Encodes a report for the leader of the domain.
std::string encodeShareReport(const share_report&);

/// Decodes a report. Throws chervilport_error of kind InvalidRequest if the bytes are not a whole report.
share_report decodeShareReport(std::string_view bytes);

/// Encodes the leader's answer to a report.
std::string encodeShareGrant(const share_grant&);

/// Decodes an answer. Throws chervilport_error of kind InvalidRequest if the bytes are not a whole answer.
share_grant decodeShareGrant(std::string_view bytes);

} // namespace chervilport
