#include "chervilport/entry/relayed_response.h"

#include "chervilport/http/error_response.h"

namespace chervilport {

namespace {

    bool isSuccess(int status)
    {
        constexpr int firstSuccess = 200;
        constexpr int lastSuccess = 299;
        return status >= firstSuccess && status <= lastSuccess;
    }

    /// Whether an answer would have been the same for an earlier attempt of the call. A fault in the call itself and a
    /// job that does not exist are; a refusal for want of a key, a route or room depends on when it was decided.
    bool appliesToEveryAttempt(int status)
    {
        return isSuccess(status) || status == errorPropertiesOf(error_kind::InvalidRequest).httpStatus
            || status == errorPropertiesOf(error_kind::TooLarge).httpStatus
            || status == errorPropertiesOf(error_kind::Gone).httpStatus;
    }

} // namespace

bool isMutating(const http_request& request) { return request.method != "GET"; }

http_response responseFor(const relay_outcome& outcome, bool isChange)
{
    const bool mayHaveRun = outcome.mayHaveRun && isChange;
    if (outcome.response && (!mayHaveRun || appliesToEveryAttempt(outcome.response->status)))
        return *outcome.response;
    if (mayHaveRun)
        return makeErrorResponse(error_kind::OutcomeUnknown, "the call was passed on and its outcome is not known");
    return makeErrorResponse(error_kind::Unavailable, "there is no path to a leader now");
}

} // namespace chervilport
