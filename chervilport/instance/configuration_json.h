#pragma once

#include "chervilport/configuration/configuration_result.h"
#include "chervilport/configuration/configuration_state.h"
#include "chervilport/configuration/domain_capacity.h"
#include "chervilport/http/http_message.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace chervilport {

/// Returns a hash as 16 hexadecimal digits.
std::string formatHash(std::uint64_t hash);

/// Returns the response to a command: 200 with versions and hash, or the error with problems and differences.
http_response resultToResponse(const configuration_result&);

/// Returns the documents in trial and production.
nlohmann::json configurationToJson(const configuration_state&);

/// Returns the accepted changes, newest first.
nlohmann::json historyToJson(const configuration_state&);

/// Encodes the capacity of a failure domain as JSON for another instance.
std::string encodeCapacity(const domain_capacity&);

/// Decodes the capacity of a failure domain. Throws chervilport_error of kind Internal on invalid text.
domain_capacity decodeCapacity(std::string_view text);

} // namespace chervilport
