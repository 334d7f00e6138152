#include "chervilport/control/cluster_calls.h"

#include <criterion/criterion.h>

using namespace chervilport;

// Guards against a message of another instance that ends this one because a field has an unexpected type.
Test(clusterCalls, messagesWithFieldsOfAnotherTypeAreLeftOut)
{
    for (const auto* const body : { R"({"term":"x"})", R"({"serves":7})", R"({"leader":[]})",
             R"({"members":{"a":"b"}})", R"({"members":7,"leader":"x"})", R"({"search_pause_ms":{}})" })
        cr_assert_not(readStatusResponse({ 200, {}, body }).has_value(), "%s", body);
    auto request = makeJoinRequest({ member_id { 7 }, 3, true });
    cr_assert(readJoinRequest(request)->id == member_id { 7 });
    request.body = R"({"id":"seven","incarnation":3,"has_disk":true})";
    cr_assert_not(readJoinRequest(request).has_value());
}

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
