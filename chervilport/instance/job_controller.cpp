#include "chervilport/instance/job_controller.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/http/error_response.h"
#include "chervilport/instance/control_access.h"
#include "chervilport/instance/domain_controller.h"
#include "chervilport/instance/job_json.h"
#include "chervilport/logging/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::string_view part = "jobs";

    http_response jsonResponse(int status, const nlohmann::json& body)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

    // Returns the error for a proposal that was not committed. An unknown outcome must not be reported as not run.
    http_response uncommitted(proposal_result result)
    {
        if (result == proposal_result::NotCommitted)
            return makeErrorResponse(
                error_kind::NotLeader, "this instance does not lead the domain; nothing was recorded");
        return makeErrorResponse(
            error_kind::OutcomeUnknown, "leadership was lost before the call was confirmed; repeat it");
    }

} // namespace

job_controller::job_controller(std::string failureDomain, std::shared_ptr<domain_controller> domain)
    : m_failureDomain(std::move(failureDomain))
    , m_domain(std::move(domain))
{
}

void job_controller::submit(const http_request& request, reply_callback reply)
{
    auto submission = parseJobSubmission(request.body);
    checkCallerWorkspace(request, submission.spec.workspace);
    if (submission.deadlineIn)
        submission.spec.deadline = m_domain->logNow() + *submission.deadlineIn;
    m_domain->submit(job_submitted { submission.spec },
        [self = shared_from_this(), reply = std::move(reply)](
            proposal_result result, std::span<const command> commands) {
            if (result != proposal_result::Committed) {
                reply(uncommitted(result));
                return;
            }
            for (const auto& each : commands) {
                if (const auto* const accepted = std::get_if<job_accepted>(&each)) {
                    logInfo(part, "job " + formatJobId(self->m_failureDomain, accepted->job) + " accepted");
                    reply(self->describe(static_cast<std::uint64_t>(accepted->job), accepted->duplicate ? 200 : 201));
                    return;
                }
                if (const auto* const refused = std::get_if<job_refused>(&each)) {
                    reply(makeErrorResponse(refused->kind, refused->reason));
                    return;
                }
            }
            reply(makeErrorResponse(error_kind::Internal, "the scheduler did not answer the submission"));
        });
}

void job_controller::show(const http_request& request, std::string_view id, const reply_callback& reply) const
{
    reply(describe(checkedNumber(request, id), 200));
}

void job_controller::cancel(const http_request& request, std::string_view id, reply_callback reply)
{
    const auto number = checkedNumber(request, id);
    m_domain->submit(job_cancelled { static_cast<job_id>(number) },
        [self = shared_from_this(), number, reply = std::move(reply)](
            proposal_result result, std::span<const command>) {
            reply(result == proposal_result::Committed ? self->describe(number, 200) : uncommitted(result));
        });
}

void job_controller::list(
    const http_request& request, std::string_view workspace, std::size_t limit, const reply_callback& reply) const
{
    checkCallerWorkspace(request, workspace);
    // One job above the limit tells whether the list is cut short.
    const auto found = listJobs(m_domain->schedule(), workspace, limit + 1);
    const bool hasMore = found.size() > limit;
    nlohmann::json jobs = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min(found.size(), limit); ++i)
        jobs.push_back(jobToJson(m_failureDomain, found[i]));
    reply(jsonResponse(200, { { "jobs", std::move(jobs) }, { "more", hasMore } }));
}

http_response job_controller::describe(std::uint64_t number, int status) const
{
    const auto job = findJob(m_domain->schedule(), static_cast<job_id>(number));
    if (!job) {
        return makeErrorResponse(
            error_kind::NotFound, "no job has the id " + formatJobId(m_failureDomain, static_cast<job_id>(number)));
    }
    return jsonResponse(status, jobToJson(m_failureDomain, *job));
}

std::uint64_t job_controller::checkedNumber(const http_request& request, std::string_view id) const
{
    const auto parsed = parseJobId(id);
    if (parsed.failureDomain != m_failureDomain)
        throw chervilport_error(error_kind::NotFound, "the job belongs to failure domain " + parsed.failureDomain);
    const auto job = findJob(m_domain->schedule(), parsed.number);
    if (!job)
        throw chervilport_error(error_kind::NotFound, "no job has the id " + std::string(id));
    checkCallerWorkspace(request, job->spec.workspace);
    return static_cast<std::uint64_t>(parsed.number);
}

} // namespace chervilport
