#include "chervilport/core/chervilport_error.h"

namespace chervilport {

chervilport_error::chervilport_error(error_kind kind, const std::string& message)
    : std::runtime_error(message)
    , m_kind(kind)
{
}

} // namespace chervilport
