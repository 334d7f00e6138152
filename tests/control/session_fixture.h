#pragma once

#include "chervilport/control/worker_session.h"

#include "chervilport/batch/batch_apply.h"
#include "chervilport/control/worker_clock.h"
#include "chervilport/instance/monotonic_now.h"
#include "tests/control/fake_worker.h"

#include <algorithm>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <deque>
#include <thread>
#include <utility>

namespace chervilport::control_tests {

using namespace std::chrono_literals;

inline constexpr std::uint64_t term = 5;

/// A leader with one worker and one job with one task.
struct session_fixture {
    session_fixture()
        : worker(context)
        , client(worker.client())
    {
        batch::site_config config;
        config.version = 1;
        config.services = { "pool" };
        batch::queue_config queue;
        queue.name = "q";
        queue.service = "pool";
        queue.maxAttempts = 3;
        config.queues = { queue };
        apply(batch::config_applied { config });
        batch::worker_report report;
        report.id = "w";
        report.address = "10.0.0.1:80";
        report.service = "pool";
        report.failureDomain = "west";
        report.incarnation = 10;
        report.capacity = { 1'000, 1'000, 1 };
        report.sequence = 1;
        apply(batch::worker_reported { report });
        batch::job_request request;
        request.id = "job";
        request.spec = "work";
        request.steps = { {} };
        apply(batch::job_submitted { request, state.config.queues.front(), "main" });
    }

    void apply(batch::batch_command command) { batch::applyBatch(state, { 1'000, { std::move(command) } }); }

    void assign(std::uint32_t run) { apply(batch::run_assigned { { { "job", 0, 0, 0 }, run }, number }); }

    std::shared_ptr<worker_session> makeSession(log_time leaseEnd = {})
    {
        session_host host;
        host.context = &context;
        host.client = &client;
        host.term = term;
        host.takeEpoch = [this] { return ++lastEpoch; };
        host.state = [this]() -> const batch::batch_state& { return state; };
        host.mayExecute = [this] { return isLeader; };
        host.propose = [this](batch::batch_command command, const std::function<void(proposal_result)>& done) {
            asio::post(context, [this, command = std::move(command), done] {
                if (!failedProposals.empty()) {
                    const auto result = failedProposals.front();
                    failedProposals.pop_front();
                    done(result);
                    return;
                }
                proposed.push_back(command);
                apply(command);
                done(proposal_result::Committed);
            });
        };
        host.changed = [] {};
        host.listedPartially = [](const poll_response&) {};
        host.started = [](const batch::run_ref&) {};
        host.progressed = [this](const batch::pace_sample& sample) { paces.push_back(sample); };
        host.ended = [](const batch::run_ref&, batch::run_end_kind) {};
        return std::make_shared<worker_session>(host, number, leaseEnd);
    }

    void runReady()
    {
        context.restart();
        context.poll();
    }

    std::vector<batch::run_end_kind> ends() const
    {
        std::vector<batch::run_end_kind> kinds;
        for (const auto& command : proposed) {
            if (const auto* const ended = std::get_if<batch::run_ended>(&command))
                kinds.push_back(ended->kind);
        }
        return kinds;
    }

    /// Starts the first run on a worker that then is silent until the lease of the run has expired. The next poll is
    /// answered and shows that the run is gone.
    std::shared_ptr<worker_session> loseRunOnSilentWorker()
    {
        assign(1);
        worker.incarnation = 10;
        worker.running = { { { { "job", 0, 0, 0 }, 1 }, "", 0 } };
        worker.pollReplies = { worker_reply::Done, worker_reply::NoResponse, worker_reply::NoResponse };
        auto session = makeSession();
        session->open();
        runReady();
        worker.heldPoll();
        runReady();
        session->tick(monotonicNow() + 60s);
        runReady();
        cr_assert_eq(ends().size(), 1);
        worker.pollReplies.clear();
        worker.running.clear();
        return session;
    }

    std::size_t crashes() const
    {
        return static_cast<std::size_t>(std::count_if(proposed.begin(), proposed.end(),
            [](const auto& command) { return std::holds_alternative<batch::worker_crashed>(command); }));
    }

    asio::io_context context;
    fake_worker worker;
    worker_client client;
    batch::batch_state state;
    batch::worker_number number { 1 };
    std::vector<batch::batch_command> proposed;
    std::vector<batch::pace_sample> paces;
    /// Results of the next proposals, which are not applied.
    std::deque<proposal_result> failedProposals;
    bool isLeader = true;
    std::uint64_t lastEpoch = 0;
};

inline const batch::run_ref firstRun { { "job", 0, 0, 0 }, 1 };

} // namespace chervilport::control_tests
