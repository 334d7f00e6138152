#include "chervilport/requests/attempt_classification.h"

#include "chervilport/requests/request_headers.h"

namespace chervilport {

namespace {

    constexpr int firstErrorStatus = 500;
    constexpr int refusalStatus = 503;

    attempt_judgement judgeNotSent(const http_result& result)
    {
        attempt_judgement judgement;
        judgement.mayRetry = true;
        judgement.error = error_kind::Unavailable;
        judgement.message = "no connection to the executor: " + result.detail;
        judgement.end = attempt_end::ConnectError;
        return judgement;
    }

    attempt_judgement judgeUncertain(const http_result& result, bool isIdempotent)
    {
        attempt_judgement judgement;
        judgement.mayHaveRun = true;
        // A response that is too large for one attempt is too large for the next.
        judgement.mayRetry = isIdempotent && result.failure != http_failure::TooLarge;
        judgement.error = isIdempotent ? error_kind::UpstreamFailed : error_kind::OutcomeUnknown;
        judgement.message = "no whole response from the executor: " + result.detail;
        judgement.end = result.failure == http_failure::TimedOut ? attempt_end::Timeout : attempt_end::CutAnswer;
        return judgement;
    }

    bool isRefusal(const http_response& response)
    {
        return response.status == refusalStatus && findHeader(response.headers, header_names::outcome) == "not_run";
    }

    attempt_judgement judgeResponse(const http_response& response, bool isIdempotent)
    {
        attempt_judgement judgement;
        if (isRefusal(response)) {
            judgement.mayRetry = true;
            judgement.error = error_kind::Overloaded;
            judgement.message = "the executors refuse further requests";
            judgement.end = attempt_end::Refused;
            return judgement;
        }
        judgement.mayHaveRun = true;
        judgement.hasAnswer = true;
        if (response.status >= firstErrorStatus) {
            judgement.end = attempt_end::ErrorAnswer;
            judgement.mayRetry = isIdempotent;
        }
        return judgement;
    }

} // namespace

attempt_judgement judgeAttempt(const http_result& result, std::string_view attempt, bool isIdempotent)
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
