#include "chervilport/requests/request_filters.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/requests/request_headers.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace chervilport {

namespace {

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxKeyBytes = 256;

    request_class parseRequestClass(std::string_view name)
    {
        if (name.empty() || name == "standard")
            return request_class::Standard;
        if (name == "urgent")
            return request_class::Urgent;
        if (name == "batch")
            return request_class::Batch;
        throw chervilport_error(error_kind::InvalidRequest, "Chervilport-Class must be urgent, standard or batch");
    }

    std::string hashOf(std::string_view text)
    {
        XXH128_canonical_t canonical;
        XXH128_canonicalFromHash(&canonical, XXH3_128bits(text.data(), text.size()));
        return { std::begin(canonical.digest), std::end(canonical.digest) };
    }

    bool isIdempotentByDefault(std::string_view method) { return method != "POST" && method != "PATCH"; }

} // namespace

void checkAccess(request_context& context, const request_settings& settings)
{
    context.caller = verifyCaller(settings.access, findHeader(context.request.headers, header_names::authorization));
}

void readWorkspaceAndClass(request_context& context, const request_settings& settings)
{
    const std::string named(findHeader(context.request.headers, header_names::workspace));
    const auto& bound = context.caller.workspace;
    if (!bound.empty() && !named.empty() && named != bound)
        throw chervilport_error(error_kind::Forbidden, "the bearer token does not permit the workspace " + named);
    context.workspace = bound.empty() ? named : bound;
    if (context.workspace.empty() || context.workspace.size() > maxNameBytes)
        throw chervilport_error(error_kind::InvalidRequest, "the request needs Chervilport-Workspace");
    if (!settings.workspaces.empty() && !settings.workspaces.contains(context.workspace))
        throw chervilport_error(error_kind::Forbidden, "workspace " + context.workspace + " is not known");
    context.priority = parseRequestClass(findHeader(context.request.headers, header_names::requestClass));
}

void readDeadline(request_context& context, const request_settings& settings)
{
    const auto text = findHeader(context.request.headers, header_names::deadline);
    if (text.empty()) {
        context.deadline = context.receivedAt + settings.defaultDeadline;
        return;
    }
    std::int64_t milliseconds = 0;
    const auto* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, milliseconds);
    if (error != std::errc() || rest != end)
        throw chervilport_error(error_kind::InvalidRequest,
            "Chervilport-Deadline-Ms must be a whole number of milliseconds, not " + std::string(text));
    if (milliseconds <= 0)
        throw chervilport_error(error_kind::DeadlineExceeded,
            "the deadline has passed: Chervilport-Deadline-Ms is " + std::to_string(milliseconds));
    // Compares in milliseconds, because converting a large value to microseconds would overflow.
    const auto maxDeadline = std::chrono::duration_cast<std::chrono::milliseconds>(settings.maxDeadline);
    context.deadline = context.receivedAt + std::min(std::chrono::milliseconds(milliseconds), maxDeadline);
}

void readRoute(request_context& context)
{
    const std::string_view target = context.request.target;
    if (!target.starts_with(requestTargetPrefix))
        throw chervilport_error(error_kind::NotFound, "the target " + context.request.target + " is not known");
    const auto rest = target.substr(requestTargetPrefix.size());
    const auto end = rest.find_first_of("/?");
    context.service = rest.substr(0, end);
    if (context.service.empty() || context.service.size() > maxNameBytes)
        throw chervilport_error(error_kind::NotFound, "the target must contain a service name of 1 to 128 bytes");
    const auto tail = end == std::string_view::npos ? std::string_view() : rest.substr(end);
    context.upstreamTarget = tail.starts_with('/') ? std::string(tail) : "/" + std::string(tail);
}

void readIdempotency(request_context& context)
{
    const auto text = findHeader(context.request.headers, header_names::idempotent);
    if (text.empty())
        context.isIdempotent = isIdempotentByDefault(context.request.method);
    else if (text == "true" || text == "false")
        context.isIdempotent = text == "true";
    else
        throw chervilport_error(error_kind::InvalidRequest, "Chervilport-Idempotent must be true or false");
    if (context.isIdempotent)
        return;
    context.key = { context.workspace, std::string(findHeader(context.request.headers, header_names::key)) };
    if (context.key.key.empty() || context.key.key.size() > maxKeyBytes)
        throw chervilport_error(
            error_kind::InvalidRequest, "a non-idempotent request needs Chervilport-Key of at most 256 bytes");
    const auto& request = context.request;
    context.bodyHash = hashOf(request.method + ' ' + request.target) + hashOf(request.body);
}

http_request makeUpstreamRequest(const request_context& context, std::string_view attempt, log_time now)
{
    http_request request;
    request.method = context.request.method;
    request.target = context.upstreamTarget;
    request.headers = upstreamHeadersOf(context.request.headers);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - now);
    request.headers.push_back({ std::string(header_names::workspace), context.workspace });
    request.headers.push_back({ std::string(header_names::deadline), std::to_string(left.count()) });
    request.headers.push_back({ std::string(header_names::attempt), std::string(attempt) });
    request.body = context.request.body;
    return request;
}

http_response makeCallerResponse(http_response response)
{
    response.headers = withoutHopByHopHeaders(response.headers);
    std::erase_if(
        response.headers, [](const auto& header) { return equalHeaderNames(header.name, header_names::attempt); });
    return response;
}

http_response makeRequestError(
    const request_context& context, error_kind kind, std::string_view message, log_duration retryAfter)
{
    if (context.mayHaveRun && errorPropertiesOf(kind).outcome == run_outcome::NotRun)
        kind = context.isIdempotent ? error_kind::UpstreamFailed : error_kind::OutcomeUnknown;
    return makeErrorResponse(kind, message, std::chrono::ceil<std::chrono::milliseconds>(retryAfter));
}

} // namespace chervilport
