#pragma once

#include "chervilport/http/http_message.h"

#include <cstddef>

namespace chervilport {

/// Returns the approximate size of a request in bytes as sent over HTTP/1.1.
std::size_t wireBytes(const http_request&);

/// Returns the approximate size of a response in bytes as sent over HTTP/1.1.
std::size_t wireBytes(const http_response&);

} // namespace chervilport
