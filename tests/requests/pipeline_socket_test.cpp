#include "chervilport/http/http_listener.h"
#include "chervilport/requests/request_pipeline.h"
#include "tests/http/fake_upstream.h"

#include <criterion/criterion.h>
#include <optional>

using namespace chervilport;
using namespace std::chrono_literals;

namespace {

log_time steadyNow()
{
    return log_time(std::chrono::duration_cast<log_duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

// The complete request path over sockets: caller, listener, pipeline, client, and one upstream controlled by the test.
struct socket_domain {
    explicit socket_domain(fake_upstream::behaviour act, const std::string& service = "pairing")
        : upstream(context, std::move(act))
        , client(context)
        , caller(context)
        , listener(context, {}, [this](http_request request, http_responder responder) {
            pipeline->handle(std::move(request), std::move(responder));
        })
    {
        const upstream_id id { upstream.address(), 1 };
        mergeAnnouncement(routing.registry,
            { id, 1, upstream_state::Ready, upstream_kind::Executor, "seattle", service, 8, 60 }, steadyNow());
        routing.registry.settings.expiry = 1h;
        routing.slots.slots[id] = { 8, 0, log_time::max() };
        request_dependencies dependencies;
        dependencies.now = steadyNow;
        dependencies.send = [this](http_client_request outgoing, http_client::callback done) {
            client.send(std::move(outgoing), std::move(done));
        };
        dependencies.claims.submit = [this](const claim_step& step, log_duration, const auto& done) {
            asio::post(context, [this, step, done] { done({ applyClaimStep(claims, step, steadyNow()), {} }); });
        };
        request_settings settings;
        settings.owner = { "instance", 1 };
        settings.maxResponseBytes = 1000;
        pipeline = std::make_shared<request_pipeline>(std::move(settings), routing, std::move(dependencies));
        listener.open();
    }

    // Sends a request to the listener and returns the response to its caller.
    http_response call(bool isIdempotent, const std::string& body, const std::string& deadlineMs = "10000")
    {
        http_client_request request;
        request.address = "127.0.0.1:" + std::to_string(listener.port());
        request.request = { "POST", "/v1/requests/pairing/run", {}, body };
        request.request.headers = { { "Chervilport-Workspace", "rail" }, { "Chervilport-Key", "key of " + body },
            { "Chervilport-Idempotent", isIdempotent ? "true" : "false" }, { "Chervilport-Deadline-Ms", deadlineMs } };
        std::optional<http_result> result;
        caller.send(std::move(request), [&](http_result ended) { result = std::move(ended); });
        while (!result)
            context.run_one();
        cr_assert(result->delivery == http_delivery::Complete);
        return result->response;
    }

    asio::io_context context;
    fake_upstream upstream;
    http_client client;
    http_client caller;
    routing_state routing;
    claim_state claims;
    std::shared_ptr<request_pipeline> pipeline;
    http_listener listener;
};

bool hasError(const http_response& response, const std::string& name)
{
    return response.body.find("\"error\":\"" + name + "\"") != std::string::npos;
}

// A fault of an upstream: its action on a request, or the number of bytes of the request after which it closes the
// connection.
struct fault {
    const char* name;
    fake_action action;
    std::size_t closeAfterBytes = 0;
};

const std::vector<fault>& allFaults()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    static const std::vector<fault> faults = {
        { "closes within the request", {}, 20 },
        { "closes before the response", { "", true } },
        { "closes within the header", { "HTTP/1.1 200 O", true } },
        { "closes within the response", { head + "Content-Length: 9\r\n\r\nabc", true } },
        { "closes within a chunk", { head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", true } },
        { "answers without an end", { head + "\r\nabc", true } },
        { "answers too long", { responseBytes(std::string(1001, 'x')), false } },
        { "answers garbage", { "garbage\r\n\r\n", true } },
        { "answers for another request", { head + "Chervilport-Attempt: x-1\r\nContent-Length: 3\r\n\r\nabc", false } },
    };
    return faults;
}

} // namespace

// Guards against a fault of an upstream that the caller sees as a success or as `not_run`, or that causes a second run.
Test(pipelineSocket, faultOfUpstreamIsUncertain)
{
    for (const auto& some : allFaults()) {
        socket_domain domain([&](const std::string&, int) { return some.action; });
        domain.upstream.closeAfterRequestBytes(some.closeAfterBytes);
        const auto response = domain.call(false, "booking");
        cr_expect(hasError(response, "outcome_unknown"), "%s: %s", some.name, response.body.c_str());
        cr_expect_eq(response.status, 502, "%s", some.name);
        // The claim determines the response to the resend, which does not reach the upstream.
        cr_expect(hasError(domain.call(false, "booking"), "outcome_unknown"), "%s", some.name);
        cr_expect_leq(domain.upstream.requests().size(), 1, "%s", some.name);
        cr_expect_eq(domain.upstream.connections(), 1, "%s", some.name);
    }
}

// Guards against an error for an idempotent request that a retry would complete.
Test(pipelineSocket, idempotentRequestIsRetried)
{
    for (const auto& some : allFaults()) {
        int received = 0;
        socket_domain domain([&](const std::string&, int) {
            return ++received == 1 ? some.action : fake_action { responseBytes("whole") };
        });
        if (some.closeAfterBytes != 0)
            continue;
        const auto response = domain.call(true, "reading");
        const bool isTransient = std::string(some.name) != "answers too long";
        cr_expect_eq(response.body == "whole", isTransient, "%s: %s", some.name, response.body.c_str());
        cr_expect_eq(domain.upstream.requests().size(), isTransient ? 2 : 1, "%s", some.name);
    }
}

// Guards against a late or duplicate response of an upstream that reaches another caller.
Test(pipelineSocket, lateAndDuplicateResponsesReachNoOtherCaller)
{
    int received = 0;
    socket_domain domain([&](const std::string&, int) {
        const auto own = responseBytes("answer " + std::to_string(++received));
        return received == 1 ? fake_action {} : fake_action { own };
    });
    cr_assert(hasError(domain.call(false, "late", "30"), "outcome_unknown"));
    domain.upstream.writeUnsolicited(responseBytes("answer 1"));
    cr_assert(domain.call(true, "second").body == "answer 2");
    domain.upstream.writeUnsolicited(responseBytes("answer 2"));
    cr_assert(domain.call(true, "third").body == "answer 3");
    cr_assert(domain.call(false, "fourth").body == "answer 4");
    for (const auto& [id, slots] : domain.routing.slots.slots)
        cr_assert_eq(slots.inUse, 0);
}

// Guards against errors caused by an upstream that closes its keep-alive connection after each response.
Test(pipelineSocket, closeAfterResponseCausesNoError)
{
    socket_domain domain([](const std::string&, int) { return fake_action { responseBytes("whole"), true }; });
    for (int i = 0; i < 5; ++i) {
        cr_assert(domain.call(true, "reading").body == "whole");
        cr_assert(domain.call(false, "booking " + std::to_string(i)).body == "whole");
    }
    cr_assert_eq(domain.upstream.requests().size(), 10);
}
