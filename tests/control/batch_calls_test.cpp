#include "chervilport/control/batch_calls.h"

#include "chervilport/core/chervilport_error.h"
#include "chervilport/metrics/metric_registry.h"
#include "tests/control/fake_worker.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <vector>

using namespace chervilport;
using namespace chervilport::control_tests;

namespace {

/// Jobs of a member whose log takes or loses what is proposed.
struct calls_bench {
    calls_bench()
        : worker(context)
    {
        batch_controller::group_link link;
        link.propose = [this](std::string payload, const command_queue::callback& done) {
            asio::post(context, [this, payload = std::move(payload), done] {
                ++proposals;
                if (commits)
                    jobs->apply(payload);
                done(commits ? proposal_result::Committed : proposal_result::Unknown);
            });
        };
        link.mayExecute = [] { return true; };
        jobs = std::make_shared<batch_controller>(
            context, worker_bounds {}, worker.client(), link, std::make_shared<metric_registry>());
    }

    call_result_callback note()
    {
        return [this](call_result end) { ends.push_back(end); };
    }

    void run()
    {
        context.restart();
        context.run();
    }

    asio::io_context context;
    fake_worker worker;
    std::shared_ptr<batch_controller> jobs;
    std::vector<call_result> ends;
    int proposals = 0;
    bool commits = true;
};

batch::site_config configOf(std::uint64_t version)
{
    batch::site_config config;
    config.version = version;
    config.services = { "pool" };
    batch::queue_config queue;
    queue.name = "q";
    queue.host = "h";
    queue.pathPrefix = "/q/";
    queue.service = "pool";
    queue.timeoutMs = 1'000;
    config.queues = { queue };
    return config;
}

batch::job_request requestOf(const std::string& id)
{
    batch::job_request request;
    request.id = id;
    request.steps = { {} };
    return request;
}

} // namespace

// Guards against a resend that is written to the log again, and against one that is refused.
Test(batchCalls, resendOfAJobIsAnsweredWithoutACommand)
{
    calls_bench bench;
    applyConfig(*bench.jobs, configOf(1), bench.note());
    bench.run();
    const batch::resolved_call place { &bench.jobs->state().config.queues.front(), "main", "job" };
    submitJob(*bench.jobs, requestOf("job"), place, bench.note());
    bench.run();
    submitJob(*bench.jobs, requestOf("job"), place, bench.note());
    cr_assert_eq(bench.ends.size(), 3);
    cr_assert_eq(bench.proposals, 2);
    cr_assert_throw(showJob(*bench.jobs, "other"), chervilport_error);
}

// Guards against an operator who is told that a change is in force although the leader lost its place meanwhile.
Test(batchCalls, lostProposalIsNotAcknowledged)
{
    calls_bench bench;
    bench.commits = false;
    applyConfig(*bench.jobs, configOf(1), bench.note());
    bench.run();
    cr_assert(bench.ends.front() == call_result::Unknown);
    cr_assert_throw(showConfig(*bench.jobs), chervilport_error);
}

// Guards against an old or invalid configuration in force, and against an old one that is refused.
Test(batchCalls, olderConfigurationIsAcknowledgedAndChangesNothing)
{
    calls_bench bench;
    applyConfig(*bench.jobs, configOf(9), bench.note());
    bench.run();
    applyConfig(*bench.jobs, configOf(4), bench.note());
    cr_assert_eq(bench.ends.size(), 2);
    cr_assert_eq(showConfig(*bench.jobs).version, 9);
    auto invalid = configOf(12);
    invalid.queues.front().timeoutMs = 0;
    cr_assert_throw(applyConfig(*bench.jobs, invalid, bench.note()), chervilport_error);
    cr_assert_eq(showConfig(*bench.jobs).version, 9);
}
