#include "chervilport/http/http_client.h"
#include "tests/http/fake_upstream.h"

#include <criterion/criterion.h>
#include <optional>

using namespace chervilport;

namespace {

http_client_request makeRequest(const fake_upstream& upstream, const std::string& body = "work")
{
    http_client_request request;
    request.address = upstream.address();
    request.request.method = "POST";
    request.request.target = "/run";
    request.request.body = body;
    return request;
}

// Runs the io_context until the request has ended.
http_result sendAndWait(asio::io_context& context, http_client& client, http_client_request request)
{
    std::optional<http_result> result;
    client.send(std::move(request), [&](http_result ended) { result = std::move(ended); });
    while (!result)
        context.run_one();
    return *result;
}

// Sends one request to an upstream that performs the action.
http_result sendOnce(const fake_action& action)
{
    asio::io_context context;
    fake_upstream upstream(context, [&](const std::string&, int) { return action; });
    http_client client(context);
    auto request = makeRequest(upstream);
    request.maxResponseBytes = 1000;
    return sendAndWait(context, client, std::move(request));
}

} // namespace

// Guards against a new connection for every request, and against requests or responses that are changed.
Test(httpClient, reusesConnectionAndKeepsMessages)
{
    asio::io_context context;
    fake_upstream upstream(context, [](const std::string&, int) { return fake_action { responseBytes("done") }; });
    http_client client(context);
    for (int i = 0; i < 5; ++i) {
        auto request = makeRequest(upstream);
        request.request.headers = { { "X-One", "1" }, { "X-Empty", "" } };
        const auto result = sendAndWait(context, client, request);
        cr_assert(result.delivery == http_delivery::Complete);
        cr_assert_eq(result.response.status, 200);
        cr_assert(result.response.body == "done");
    }
    cr_assert_eq(upstream.connections(), 1);
    const auto& sent = upstream.requests().front();
    cr_assert(sent.starts_with("POST /run HTTP/1.1\r\n"));
    cr_assert(sent.find("\r\nX-One: 1\r\n") != std::string::npos);
    cr_assert(sent.find("\r\nX-Empty:\r\n") != std::string::npos);
    cr_assert(sent.ends_with("\r\n\r\nwork"));
    cr_assert(sent.find("Expect") == std::string::npos);
}

// Guards against the automatic retry of libcurl: the upstream reads the second request on the reused connection and
// closes it without a response. A third request at the upstream would run the work twice.
Test(httpClient, doesNotResendAfterLossOfReusedConnection)
{
    asio::io_context context;
    int received = 0;
    fake_upstream upstream(context, [&](const std::string&, int) {
        return ++received == 2 ? fake_action { "", true } : fake_action { responseBytes("done") };
    });
    http_client client(context);
    cr_assert(sendAndWait(context, client, makeRequest(upstream)).delivery == http_delivery::Complete);
    const auto result = sendAndWait(context, client, makeRequest(upstream));
    cr_assert(result.delivery == http_delivery::MaybeSent);
    cr_assert(result.failure == http_failure::NoResponse);
    context.poll();
    cr_assert_eq(upstream.requests().size(), 2);
}

// Guards against the use of a connection that the upstream closed while it was idle.
Test(httpClient, doesNotUseConnectionClosedWhileIdle)
{
    asio::io_context context;
    fake_upstream upstream(context, [](const std::string&, int) {
        return fake_action { responseBytes("done"), true };
    });
    http_client client(context);
    for (int i = 0; i < 3; ++i)
        cr_assert(sendAndWait(context, client, makeRequest(upstream)).delivery == http_delivery::Complete);
    cr_assert_eq(upstream.requests().size(), 3);
    cr_assert_eq(upstream.connections(), 3);
}

// Guards against a second response of an upstream that is read as the response to the next request.
Test(httpClient, unsolicitedResponseIsNotUsedForNextRequest)
{
    asio::io_context context;
    int received = 0;
    fake_upstream upstream(context,
        [&](const std::string&, int) { return fake_action { responseBytes("answer " + std::to_string(++received)) }; });
    http_client client(context);
    cr_assert(sendAndWait(context, client, makeRequest(upstream)).response.body == "answer 1");
    upstream.writeUnsolicited(responseBytes("answer 1 again"));
    const auto result = sendAndWait(context, client, makeRequest(upstream));
    cr_assert(result.response.body == "answer 2");
    cr_assert_eq(upstream.connections(), 2);
}

// Guards against a request that must not run twice being written to an idle connection that may be closing.
Test(httpClient, usesNewConnectionOnDemand)
{
    asio::io_context context;
    fake_upstream upstream(context, [](const std::string&, int) { return fake_action { responseBytes("done") }; });
    http_client client(context);
    sendAndWait(context, client, makeRequest(upstream));
    auto request = makeRequest(upstream);
    request.reuseConnection = false;
    cr_assert(sendAndWait(context, client, request).delivery == http_delivery::Complete);
    cr_assert_eq(upstream.connections(), 2);
}

// Guards against a truncated, endless or oversized response being reported as a success.
Test(httpClient, acceptsOnlyCompleteResponses)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct expectation {
        std::string bytes;
        http_failure failure;
    };
    const std::vector<expectation> expectations = {
        { "", http_failure::NoResponse },
        { "HTTP/1.1 20", http_failure::NoResponse },
        { head + "Content-Length: 9\r\n\r\n", http_failure::Truncated },
        { head + "Content-Length: 9\r\n\r\nabc", http_failure::Truncated },
        { head + "Content-Length: 3\r\n\r\nabc", http_failure::None },
        { head + "Content-Length: 0\r\n\r\n", http_failure::None },
        { "HTTP/1.1 204 No Content\r\n\r\n", http_failure::None },
        { "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc", http_failure::None },
        { chunked + "3\r\nabc\r\n", http_failure::Truncated },
        { chunked + "3\r\nab", http_failure::Truncated },
        { chunked + "3\r\nabc\r\n0\r\n\r\n", http_failure::None },
        { head + "\r\nabc", http_failure::Truncated },
        { responseBytes(std::string(1001, 'x')), http_failure::TooLarge },
        { "garbage\r\n\r\n", http_failure::Invalid },
    };
    for (const auto& expected : expectations) {
        const auto result = sendOnce({ expected.bytes, true });
        cr_expect(result.failure == expected.failure, "%s: %d (%s)", expected.bytes.c_str(),
            static_cast<int>(result.failure), result.detail.c_str());
        const auto delivery
            = expected.failure == http_failure::None ? http_delivery::Complete : http_delivery::MaybeSent;
        cr_expect(result.delivery == delivery, "%s", expected.bytes.c_str());
        cr_expect(result.response.body.size() <= 3);
    }
}

// Guards against bytes beyond the announced length in this response or the next one.
Test(httpClient, dropsBytesBeyondLength)
{
    asio::io_context context;
    int received = 0;
    fake_upstream upstream(context, [&](const std::string&, int) {
        return fake_action { responseBytes("abc") + (++received == 1 ? responseBytes("for another") : "") };
    });
    http_client client(context);
    for (int i = 0; i < 2; ++i)
        cr_assert(sendAndWait(context, client, makeRequest(upstream)).response.body == "abc");
}

// Guards against a partly sent request being reported as not sent.
Test(httpClient, partlyReadRequestMayHaveBeenSent)
{
    asio::io_context context;
    fake_upstream upstream(context, [](const std::string&, int) { return fake_action {}; });
    upstream.closeAfterRequestBytes(10);
    http_client client(context);
    const auto result = sendAndWait(context, client, makeRequest(upstream, std::string(4U << 20U, 'x')));
    cr_assert(result.delivery == http_delivery::MaybeSent);
    cr_assert(upstream.requests().empty());
}

// Guards against a refused connection being reported as MaybeSent, which would forbid the retry.
Test(httpClient, refusedConnectionIsNotSent)
{
    asio::io_context context;
    std::string address;
    {
        asio::ip::tcp::acceptor unused(context, { asio::ip::make_address("127.0.0.1"), 0 });
        address = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
    }
    http_client client(context);
    http_client_request request;
    request.address = address;
    const auto result = sendAndWait(context, client, request);
    cr_assert(result.delivery == http_delivery::NotSent);
    cr_assert(result.failure == http_failure::ConnectFailed);
}

// Guards against a request without a response that never ends, and against a second call of its callback.
Test(httpClient, timeoutAndCancelEndRequestOnce)
{
    asio::io_context context;
    fake_upstream upstream(context, [](const std::string&, int) { return fake_action {}; });
    http_client client(context);
    auto request = makeRequest(upstream);
    request.timeout = std::chrono::milliseconds(20);
    const auto result = sendAndWait(context, client, request);
    cr_assert(result.failure == http_failure::TimedOut);
    cr_assert(result.delivery == http_delivery::MaybeSent);

    int ends = 0;
    const auto id = client.send(makeRequest(upstream), [&](const http_result& ended) {
        ++ends;
        cr_assert(ended.failure == http_failure::Cancelled);
        cr_assert(ended.delivery == http_delivery::NotSent);
    });
    client.cancel(id);
    client.cancel(id);
    while (ends == 0)
        context.run_one();
    context.poll();
    cr_assert_eq(ends, 1);
    cr_assert_eq(client.inFlight(), 0);
}

// Guards against responses for the wrong request when many requests share connections and end in any order.
Test(httpClient, concurrentRequestsReceiveTheirOwnResponses)
{
    asio::io_context context;
    fake_upstream upstream(context, [](const std::string& request, int) {
        return fake_action { responseBytes(request.substr(request.find("\r\n\r\n") + 4)) };
    });
    http_client client(context, { .maxConnectionsPerAddress = 4 });
    constexpr int total = 200;
    int answered = 0;
    for (int i = 0; i < total; ++i) {
        client.send(makeRequest(upstream, std::to_string(i)), [&, i](const http_result& result) {
            cr_assert(result.response.body == std::to_string(i));
            ++answered;
        });
    }
    while (answered < total)
        context.run_one();
    cr_assert_eq(upstream.requests().size(), total);
    cr_assert_leq(upstream.connections(), 4);
}
