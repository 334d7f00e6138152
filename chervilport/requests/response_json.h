#pragma once

#include "chervilport/http/http_message.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace chervilport {

/// Returns a string as a binary value, because strings from callers may contain any bytes and CBOR text must be UTF-8.
nlohmann::json toBytes(std::string_view);

/// Returns the bytes of a binary value. Throws nlohmann::json::exception for another value.
std::string fromBytes(const nlohmann::json&);

/// Returns a response as an array of status, headers and body.
nlohmann::json toJson(const http_response&);

/// Returns the response that such an array contains. Throws nlohmann::json::exception for another value.
http_response toResponse(const nlohmann::json&);

} // namespace chervilport
