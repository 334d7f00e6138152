#include "chervilport/http/http_message.h"
#include "chervilport/instance/configuration_json.h"
#include "chervilport/instance/peer_response.h"
#include "chervilport/requests/claim_reply_codec.h"

#include <criterion/criterion.h>
#include <string>

using namespace chervilport;

namespace {

constexpr const char* damagedBodies[]
    = { "", "x", "{}", "[]", "[7]", "{\"name\":3}", "{\"name\":\"west\",\"groups\":[[1]]}", "\x82\x18\x63\xf6" };

http_response okResponse(std::string body) { return { 200, {}, std::move(body) }; }

} // namespace

// Guards against a peer whose damaged response ends this process.
Test(peerResponse, damagedBodiesCountAsMissing)
{
    for (const auto* const body : damagedBodies) {
        cr_assert(!readClaimResponse(okResponse(body)), "%s", body);
        cr_assert(!readCapacityResponse(okResponse(body)), "%s", body);
    }
}

// Guards against a sound response that is dropped, and against the body of an error that is read as a result.
Test(peerResponse, soundBodiesAreReadFromSuccessesOnly)
{
    auto claim = okResponse(encodeClaimReply({}));
    cr_assert(readClaimResponse(claim));
    auto capacity = okResponse(encodeCapacity({ "west", {} }));
    cr_assert(readCapacityResponse(capacity)->name == "west");
    claim.status = 503;
    capacity.status = 503;
    cr_assert(!readClaimResponse(claim));
    cr_assert(!readCapacityResponse(capacity));
}
