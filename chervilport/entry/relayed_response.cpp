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

    /// Returns whether an earlier attempt of the call would have had the same response. This holds for an invalid call
    /// and for a job that does not exist. A refusal because of a key, a route or a limit depends on when it was
    /// decided.
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
        return makeErrorResponse(
            error_kind::OutcomeUnknown, "the call was relayed to the leader and its outcome is unknown");
    return makeErrorResponse(error_kind::Unavailable, "no leader is reachable");
}

} // namespace chervilport
