#include "chervilport/instance/control_api.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/configuration_controller.h"
#include "chervilport/instance/job_controller.h"
#include "chervilport/instance/job_json.h"
#include "chervilport/instance/monotonic_now.h"
#include "chervilport/instance/replica_group.h"
#include "chervilport/instance/worker_announcement.h"
#include "chervilport/instance/worker_controller.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view jobsPath = "/v1/jobs";
    constexpr std::string_view announcePath = "/v1/announce";
    constexpr std::string_view statusPath = "/v1/status";
    constexpr std::string_view configPath = "/v1/config";
    // Leaves time to detect a new leader, but uses little of the caller's deadline.
    constexpr std::chrono::milliseconds retryInterval { 50 };
    constexpr int maxHops = 3;
    constexpr std::size_t defaultListLimit = 100;
    constexpr std::size_t maxListLimit = 1'000;

    // Returns the value of a query parameter, empty when it is missing. Does not decode percent escapes: names of
    // workspaces contain no reserved characters.
    std::string_view queryParameter(std::string_view query, std::string_view name)
    {
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto pair = query.substr(0, end);
            const auto equals = pair.find('=');
            if (equals != std::string_view::npos && pair.substr(0, equals) == name)
                return pair.substr(equals + 1);
            query = end == std::string_view::npos ? std::string_view {} : query.substr(end + 1);
        }
        return {};
    }

    std::size_t readLimit(std::string_view text)
    {
        if (text.empty())
            return defaultListLimit;
        std::size_t limit = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), limit);
        if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || !limit || limit > maxListLimit)
            throw chervilport_error(error_kind::InvalidRequest, "limit must be a whole number from 1 to 1000");
        return limit;
    }

    [[noreturn]] void throwMethodNotAllowed(const http_request& request)
    {
        throw chervilport_error(error_kind::InvalidRequest, "method " + request.method + " is not allowed here");
    }

    // Returns whether a forwarded call was rejected by an instance that does not lead. Such a call was not executed and
    // may be retried.
    bool isRepeatable(const http_response& response)
    {
        const auto& notLeader = errorPropertiesOf(error_kind::NotLeader);
        return response.status == notLeader.httpStatus
            && response.body.find("\"error\":\"" + std::string(notLeader.name) + "\"") != std::string::npos;
    }

} // namespace

control_api::control_api(asio::io_context& context, control_api_parts parts, control_api_hooks hooks)
    : m_context(context)
    , m_parts(std::move(parts))
    , m_hooks(std::move(hooks))
{
}

void control_api::handle(const std::shared_ptr<control_call>& call)
{
    try {
        serve(call);
    } catch (const chervilport_error& error) {
        call->reply(makeErrorResponse(error.kind(), error.what()));
    }
}

void control_api::handleInDomain(const std::shared_ptr<control_call>& call, std::string_view failureDomain)
{
    try {
        forwardToDomain(call, failureDomain);
    } catch (const chervilport_error& error) {
        call->reply(makeErrorResponse(error.kind(), error.what()));
    }
}

void control_api::serve(const std::shared_ptr<control_call>& call)
{
    const std::string_view target = call->request.target;
    const auto queryStart = target.find('?');
    const auto path = target.substr(0, queryStart);
    const auto query = queryStart == std::string_view::npos ? std::string_view {} : target.substr(queryStart + 1);
    if (path == jobsPath || path.starts_with(std::string(jobsPath) + "/")) {
        serveJobs(call, path, query);
        return;
    }
    if (path == announcePath) {
        serveAnnouncement(call);
        return;
    }
    if (path == statusPath) {
        call->reply({ 200, { { "Content-Type", "application/json" } }, m_hooks.describeStatus() });
        return;
    }
    if (path == configPath || path.starts_with(std::string(configPath) + "/")) {
        serveConfiguration(call, path.substr(configPath.size()));
        return;
    }
    if (path == capacityPath) {
        onLeader(call, [this, call] { call->reply({ 200, {}, m_hooks.describeCapacity() }); });
        return;
    }
    if (path == claimPath) {
        serveClaim(call);
        return;
    }
    throw chervilport_error(error_kind::NotFound, "there is nothing at this path");
}

void control_api::serveJobs(const std::shared_ptr<control_call>& call, std::string_view path, std::string_view query)
{
    const auto& request = call->request;
    if (path == jobsPath) {
        if (request.method != "POST" && request.method != "GET")
            throwMethodNotAllowed(request);
        const bool isSubmission = request.method == "POST";
        const auto homeDomain = isSubmission ? parseJobSubmission(request.body).failureDomain
                                             : std::string(queryParameter(query, "failure_domain"));
        if (!homeDomain.empty() && homeDomain != m_parts.failureDomain) {
            forwardToDomain(call, homeDomain);
            return;
        }
        const std::string workspace(queryParameter(query, "workspace"));
        const auto limit = readLimit(queryParameter(query, "limit"));
        onLeader(call, [this, call, isSubmission, workspace, limit] {
            if (isSubmission)
                m_parts.jobs->submit(call->request, call->reply);
            else
                m_parts.jobs->list(call->request, workspace, limit, call->reply);
        });
        return;
    }
    const std::string id(path.substr(jobsPath.size() + 1));
    if (request.method != "GET" && request.method != "DELETE")
        throwMethodNotAllowed(request);
    if (const auto homeDomain = parseJobId(id).failureDomain; homeDomain != m_parts.failureDomain) {
        forwardToDomain(call, homeDomain);
        return;
    }
    onLeader(call, [this, call, id] {
        if (call->request.method == "GET")
            m_parts.jobs->show(call->request, id, call->reply);
        else
            m_parts.jobs->cancel(call->request, id, call->reply);
    });
}

void control_api::serveClaim(const std::shared_ptr<control_call>& call)
{
    onLeader(call, [this, call] { m_hooks.applyClaim(call->request.body, call->reply); });
}

void control_api::serveAnnouncement(const std::shared_ptr<control_call>& call)
{
    if (call->request.method != "POST")
        throwMethodNotAllowed(call->request);
    auto announcement = parseWorkerAnnouncement(call->request.body);
    onLeader(call,
        [this, call, announcement = std::move(announcement)] { m_parts.workers->announce(announcement, call->reply); });
}

void control_api::serveConfiguration(const std::shared_ptr<control_call>& call, std::string_view path)
{
    onFleetLeader(call,
        [this, call, path = std::string(path)] { m_parts.configuration->serve(call->request, path, call->reply); });
}

void control_api::onFleetLeader(const std::shared_ptr<control_call>& call, const std::function<void()>& action)
{
    const auto& group = m_parts.fleetGroup;
    if (group && group->mayServe()) {
        action();
        return;
    }
    if (call->hops >= maxHops) {
        retryLater(call, "the fleet log has no leader");
        return;
    }
    if (group) {
        const auto status = group->status();
        if (status.role != replica_role::Leader && status.leader)
            forwardTo(call, static_cast<std::uint64_t>(*status.leader));
        else
            retryLater(call, "the fleet log has no leader");
        return;
    }
    const auto& instances = m_parts.fleetInstances;
    if (instances.empty())
        throw chervilport_error(error_kind::Unavailable, "no instance is a member of the fleet log");
    forwardTo(call, instances[m_forwardRotation++ % instances.size()]);
}

void control_api::onLeader(const std::shared_ptr<control_call>& call, const std::function<void()>& action)
{
    if (m_parts.domainGroup->mayServe()) {
        action();
        return;
    }
    const auto status = m_parts.domainGroup->status();
    if (status.role != replica_role::Leader && status.leader && call->hops < maxHops)
        forwardTo(call, static_cast<std::uint64_t>(*status.leader));
    else
        retryLater(call, "the failure domain has no leader");
}

void control_api::forwardTo(const std::shared_ptr<control_call>& call, std::uint64_t instance)
{
    m_hooks.forward(instance, *call, [weak = weak_from_this(), call](const forward_outcome& outcome) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (outcome.response && !isRepeatable(*outcome.response))
            call->reply(*outcome.response);
        else if (outcome.response || outcome.notRun)
            self->retryLater(call, outcome.response ? "the failure domain has no leader" : outcome.reason);
        else
            call->reply(makeErrorResponse(error_kind::OutcomeUnknown, outcome.reason));
    });
}

void control_api::forwardToDomain(const std::shared_ptr<control_call>& call, std::string_view failureDomain)
{
    const auto instances = m_hooks.instancesOf(failureDomain);
    if (instances.empty())
        throw chervilport_error(error_kind::NotFound, "no failure domain is named " + std::string(failureDomain));
    if (call->hops >= maxHops)
        throw chervilport_error(
            error_kind::Unavailable, "the call reached the limit of " + std::to_string(maxHops) + " forwards");
    forwardTo(call, instances[m_forwardRotation++ % instances.size()]);
}

void control_api::retryLater(const std::shared_ptr<control_call>& call, const std::string& reason)
{
    if (monotonicNow() + retryInterval >= call->deadline) {
        call->reply(makeErrorResponse(error_kind::Unavailable, reason));
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, retryInterval);
    timer->async_wait([weak = weak_from_this(), call, timer](const std::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            call->reply(makeErrorResponse(error_kind::Unavailable, "the instance is stopping"));
        else
            self->handle(call);
    });
}

} // namespace chervilport
