#include "chervilport/transport/detail/kj_error.h"

#include <kj/debug.h>
#include <kj/exception.h>

namespace chervilport {

void requireOrFail(bool condition, const std::string& reason)
{
    if (!condition)
        kj::throwFatalException(
            kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(reason.c_str())));
}

} // namespace chervilport
