#pragma once

#include "chervilport/http/http_message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chervilport {

class domain_controller;

/// Serves the calls about jobs on the leader of a domain. A caller restricted to a workspace can access only the jobs
/// of that workspace; other calls throw chervilport_error of kind Forbidden. Runs on the control thread.
class job_controller : public std::enable_shared_from_this<job_controller> {
public:
    /// Called once with the response to a call.
    using reply_callback = std::function<void(http_response)>;

    /// Creates the controller for a failure domain.
    job_controller(std::string failureDomain, std::shared_ptr<domain_controller>);

    /// Submits a job. Replies 201 with the job once it is committed, or 200 when its client key was already used.
    void submit(const http_request&, reply_callback);

    /// Replies 200 with the job, or `not_found`.
    void show(const http_request&, std::string_view id, const reply_callback&) const;

    /// Cancels a job and replies 200 with it.
    void cancel(const http_request&, std::string_view id, reply_callback);

    /// Replies 200 with at most `limit` of the newest jobs of a workspace, or of all workspaces when the name is empty.
    void list(const http_request&, std::string_view workspace, std::size_t limit, const reply_callback&) const;

private:
    http_response describe(std::uint64_t number, int status) const;
    std::uint64_t checkedNumber(const http_request&, std::string_view id) const;

    std::string m_failureDomain;
    std::shared_ptr<domain_controller> m_domain;
};

} // namespace chervilport
