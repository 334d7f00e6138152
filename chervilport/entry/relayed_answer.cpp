#include "chervilport/entry/relayed_answer.h"

#include "chervilport/http/error_response.h"

namespace chervilport {

http_response answerOf(const relay_outcome& outcome, bool changesSomething)
{
    if (outcome.response)
        return *outcome.response;
    if (outcome.maybeRun && changesSomething)
        return makeErrorResponse(error_kind::OutcomeUnknown, "the call was passed on and its outcome is not known");
    return makeErrorResponse(error_kind::Unavailable, "there is no path to a leader now");
}

} // namespace chervilport
