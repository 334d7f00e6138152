#include "platform/control_calls.h"

#include "chervilport/control/batch_controller.h"
#include "chervilport/instance/control_call.h"
#include "chervilport/metrics/metric_registry.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>

using namespace chervilport;

namespace {

/// A leader whose proposals are committed, without workers.
struct surface_fixture {
    surface_fixture()
    {
        batch_controller::group_link link;
        link.propose = [this](std::string payload, const command_queue::callback& done) {
            asio::post(context, [this, payload = std::move(payload), done] {
                jobs->apply(payload);
                done(proposal_result::Committed);
            });
        };
        link.mayExecute = [] { return true; };
        jobs = std::make_shared<batch_controller>(
            context, worker_bounds {}, worker_client {}, link, std::make_shared<metric_registry>());
    }

    /// Returns the status of the response to a call.
    int statusOf(const std::string& method, const std::string& target)
    {
        int status = 0;
        auto call = std::make_shared<control_call>();
        call->request.method = method;
        call->request.target = target;
        call->reply = [&](const http_response& response) { status = response.status; };
        platform::serveControlCall(*jobs, call);
        context.restart();
        context.run();
        return status;
    }

    asio::io_context context;
    std::shared_ptr<batch_controller> jobs;
};

} // namespace

// Guards against an operator's order to evacuate a failure domain that is answered as an unknown resource.
Test(controlCalls, domainIsEvacuatedAndRestored)
{
    surface_fixture fixture;
    cr_assert_eq(fixture.statusOf("POST", "/v1/evacuations/west"), 200);
    cr_assert(fixture.jobs->state().evacuatedDomains.contains("west"));
    cr_assert_eq(fixture.statusOf("DELETE", "/v1/evacuations/west"), 200);
    cr_assert(fixture.jobs->state().evacuatedDomains.empty());
    cr_assert_eq(fixture.statusOf("DELETE", "/v1/evacuations/west"), 200);
    cr_assert_eq(fixture.statusOf("POST", "/v1/evacuations/"), 404);
}

// Guards against an evacuation order that is executed after its caller gave up because it is not recognized, and
// against other calls that are dropped like one.
Test(controlCalls, evacuationOrdersAreRecognized)
{
    cr_assert(platform::isEvacuationOrder({ "POST", "/v1/evacuations/west", {}, {} }));
    cr_assert(platform::isEvacuationOrder({ "DELETE", "/v1/evacuations/west", {}, {} }));
    cr_assert_not(platform::isEvacuationOrder({ "PUT", "/v1/instances/i-1", {}, {} }));
    cr_assert_not(platform::isEvacuationOrder({ "PUT", "/v1/config", {}, {} }));
}
