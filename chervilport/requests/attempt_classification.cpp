#include "chervilport/requests/attempt_classification.h"

#include "chervilport/requests/request_headers.h"

namespace chervilport {

namespace {

    constexpr int firstErrorStatus = 500;
    constexpr int refusalStatus = 503;

    attempt_classification judgeNotSent(const http_result& result)
    {
        attempt_classification judgement;
        judgement.mayRetry = true;
        judgement.error = error_kind::Unavailable;
        judgement.message = "no connection to the executor: " + result.detail;
        judgement.end = attempt_result::ConnectError;
        return judgement;
    }

    attempt_classification judgeUncertain(const http_result& result, bool isIdempotent)
    {
        attempt_classification judgement;
        judgement.mayHaveRun = true;
        // A response that is too large for one attempt is too large for the next.
        judgement.mayRetry = isIdempotent && result.failure != http_failure::TooLarge;
        judgement.error = isIdempotent ? error_kind::UpstreamFailed : error_kind::OutcomeUnknown;
        judgement.message = "no whole response from the executor: " + result.detail;
        judgement.end
            = result.failure == http_failure::TimedOut ? attempt_result::Timeout : attempt_result::TruncatedResponse;
        return judgement;
    }

    bool isRefusal(const http_response& response)
    {
        return response.status == refusalStatus && findHeader(response.headers, header_names::outcome) == "not_run";
    }

    attempt_classification judgeResponse(const http_response& response, bool isIdempotent)
    {
        attempt_classification judgement;
        if (isRefusal(response)) {
            judgement.mayRetry = true;
            judgement.error = error_kind::Overloaded;
            judgement.message = "the executors refuse further requests";
            judgement.end = attempt_result::Refused;
            return judgement;
        }
        judgement.mayHaveRun = true;
        judgement.hasAnswer = true;
        if (response.status >= firstErrorStatus) {
            judgement.end = attempt_result::ErrorResponse;
            judgement.mayRetry = isIdempotent;
        }
        return judgement;
    }

} // namespace

attempt_classification classifyAttempt(const http_result& result, std::string_view attempt, bool isIdempotent)
{
    switch (result.delivery) {
    case http_delivery::NotSent:
        return judgeNotSent(result);
    case http_delivery::MaybeSent:
        return judgeUncertain(result, isIdempotent);
    case http_delivery::Complete:
        break;
    }
    const auto repeated = findHeader(result.response.headers, header_names::attempt);
    if (!repeated.empty() && repeated != attempt) {
        http_result foreign;
        foreign.failure = http_failure::Invalid;
        foreign.detail = "the response belongs to another request";
        return judgeUncertain(foreign, isIdempotent);
    }
    return judgeResponse(result.response, isIdempotent);
}

} // namespace chervilport
