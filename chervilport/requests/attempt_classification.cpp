#include "chervilport/requests/attempt_classification.h"

#include "chervilport/requests/request_headers.h"

namespace chervilport {

namespace {

    constexpr int firstErrorStatus = 500;
    constexpr int refusalStatus = 503;

    attempt_classification classifyNotSent(const http_result& result)
    {
        attempt_classification classification;
        classification.mayRetry = true;
        classification.error = error_kind::Unavailable;
        classification.message = "no connection to the executor: " + result.detail;
        classification.result = attempt_result::ConnectError;
        return classification;
    }

    attempt_classification classifyUncertain(const http_result& result, bool isIdempotent)
    {
        attempt_classification classification;
        classification.mayHaveRun = true;
        // A retry would receive a response that is too large as well.
        classification.mayRetry = isIdempotent && result.failure != http_failure::TooLarge;
        classification.error = isIdempotent ? error_kind::UpstreamFailed : error_kind::OutcomeUnknown;
        classification.message = "no complete response from the executor: " + result.detail;
        classification.result
            = result.failure == http_failure::TimedOut ? attempt_result::Timeout : attempt_result::TruncatedResponse;
        return classification;
    }

    bool isRefusal(const http_response& response)
    {
        return response.status == refusalStatus && findHeader(response.headers, header_names::outcome) == "not_run";
    }

    attempt_classification classifyResponse(const http_response& response, bool isIdempotent)
    {
        attempt_classification classification;
        if (isRefusal(response)) {
            classification.mayRetry = true;
            classification.error = error_kind::Overloaded;
            classification.message = "the executors refuse further requests";
            classification.result = attempt_result::Refused;
            return classification;
        }
        classification.mayHaveRun = true;
        classification.hasResponse = true;
        if (response.status >= firstErrorStatus) {
            classification.result = attempt_result::ErrorResponse;
            classification.mayRetry = isIdempotent;
        }
        return classification;
    }

} // namespace

attempt_classification classifyAttempt(const http_result& result, std::string_view attempt, bool isIdempotent)
{
    switch (result.delivery) {
    case http_delivery::NotSent:
        return classifyNotSent(result);
    case http_delivery::MaybeSent:
        return classifyUncertain(result, isIdempotent);
    case http_delivery::Complete:
        break;
    }
    // A response with another attempt number says nothing about this request.
    const auto repeated = findHeader(result.response.headers, header_names::attempt);
    if (!repeated.empty() && repeated != attempt) {
        http_result foreign;
        foreign.failure = http_failure::Invalid;
        foreign.detail = "the response does not belong to attempt " + std::string(attempt);
        return classifyUncertain(foreign, isIdempotent);
    }
    return classifyResponse(result.response, isIdempotent);
}

} // namespace chervilport
