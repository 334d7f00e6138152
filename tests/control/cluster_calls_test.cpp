#include "chervilport/control/cluster_calls.h"

#include <criterion/criterion.h>

using namespace chervilport;

// Guards against a pause that another instance gives as negative or endless, so that the leader is never searched.
Test(clusterCalls, searchPauseIsBounded)
{
    cluster_status status;
    status.searchPause = std::chrono::milliseconds(600);
    cr_assert(readStatusResponse(makeStatusResponse(status))->searchPause == std::chrono::milliseconds(600));
    for (const auto* const body : { R"({"search_pause_ms":-5})", R"({"search_pause_ms":99999999})" }) {
        const auto pause = readStatusResponse({ 200, {}, body })->searchPause;
        cr_assert(pause >= log_duration(0) && pause <= std::chrono::seconds(10));
    }
}
