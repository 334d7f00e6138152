#pragma once

#include "chervilport/http/http_message.h"

#include <cstddef>

namespace chervilport {

/// Returns the bytes of a request in HTTP/1.1 form.
std::size_t wireBytes(const http_request&);

/// Returns the bytes of a response in HTTP/1.1 form.
std::size_t wireBytes(const http_response&);

} // namespace chervilport
