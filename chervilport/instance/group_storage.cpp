#include "chervilport/instance/group_storage.h"

namespace chervilport {

group_storage makeVolatileStorage()
{
    return {
        [] { return persisted_state {}; },
        [](const replica_output&) {},
        [](const snapshot&) {},
    };
}

} // namespace chervilport
