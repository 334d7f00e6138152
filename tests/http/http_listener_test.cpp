#include "chervilport/http/http_client.h"
#include "chervilport/http/http_listener.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <vector>

using namespace chervilport;

namespace {

// A TCP client that can send malformed and partial requests.
class raw_client {
public:
    raw_client(asio::io_context& context, std::uint16_t port)
        : m_context(context)
        , m_socket(context)
    {
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        read();
    }

    void write(const std::string& bytes) { asio::write(m_socket, asio::buffer(bytes)); }

    void close() { m_socket.close(); }

    // Runs the io_context until the text is received or the connection ends.
    bool waitFor(const std::string& text)
    {
        while (!m_isClosed && m_received.find(text) == std::string::npos)
            m_context.run_one();
        return m_received.find(text) != std::string::npos;
    }

    void waitForClose()
    {
        while (!m_isClosed)
            m_context.run_one();
    }

    const std::string& received() const { return m_received; }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [this](const asio::error_code& error, std::size_t length) {
            m_received.append(m_buffer.data(), length);
            m_isClosed = static_cast<bool>(error);
            if (!error)
                read();
        });
    }

    asio::io_context& m_context;
    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer {};
    std::string m_received;
    bool m_isClosed = false;
};

struct listener_fixture {
    explicit listener_fixture(http_listener_settings settings = {})
        : listener(context, std::move(settings), [this](http_request request, http_responder responder) {
            requests.push_back(std::move(request));
            responders.push_back(std::move(responder));
        })
    {
        listener.open();
    }

    void waitForRequests(std::size_t count)
    {
        while (requests.size() < count)
            context.run_one();
    }

    asio::io_context context;
    std::vector<http_request> requests;
    std::vector<http_responder> responders;
    http_listener listener;
};

const std::string getRequest = "GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n\r\n";

} // namespace

// Guards against changed requests or responses, and against a second response to one request.
Test(httpListener, passesRequestAndOneResponse)
{
    listener_fixture fixture;
    raw_client caller(fixture.context, fixture.listener.port());
    caller.write("POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\nContent-Length: 4\r\n\r\nbody");
    fixture.waitForRequests(1);
    const auto& request = fixture.requests.front();
    cr_assert(request.method == "POST" && request.target == "/a?b=c" && request.body == "body");
    cr_assert(findHeader(request.headers, "x-one") == "1");
    cr_assert(fixture.responders[0]({ 201, { { "X-Two", "2" } }, "made" }));
    cr_assert_not(fixture.responders[0]({ 500, {}, "again" }));
    cr_assert(caller.waitFor("\r\n\r\nmade"));
    cr_assert(caller.received().starts_with("HTTP/1.1 201 "));
    cr_assert(caller.received().find("X-Two: 2\r\n") != std::string::npos);
    caller.write(getRequest);
    fixture.waitForRequests(2);
    fixture.responders[1]({ 200, {}, "second" });
    cr_assert(caller.waitFor("second"));
    cr_assert(caller.received().find("again") == std::string::npos);
}

// Guards against a request without a response, whose caller would wait forever.
Test(httpListener, unansweredRequestBecomesInternalError)
{
    listener_fixture fixture;
    raw_client caller(fixture.context, fixture.listener.port());
    caller.write(getRequest);
    fixture.waitForRequests(1);
    fixture.responders.clear();
    cr_assert(caller.waitFor(R"("error":"internal")"));
    cr_assert(caller.received().starts_with("HTTP/1.1 500 "));
}

// Guards against callers that wait in the backlog until they give up, because those who came before keep all
// connections: 3,000 workers with a heartbeat every 1.5 s each held one.
Test(httpListener, crowdedListenerClosesConnectionsAfterTheirResponse)
{
    http_listener_settings settings;
    settings.maxKeptConnections = 1;
    listener_fixture fixture(settings);
    raw_client first(fixture.context, fixture.listener.port());
    first.write(getRequest);
    fixture.waitForRequests(1);
    raw_client second(fixture.context, fixture.listener.port());
    second.write(getRequest);
    fixture.waitForRequests(2);
    fixture.responders[1]({ 200, {}, "last" });
    cr_assert(second.waitFor("last"));
    second.waitForClose();
    fixture.responders[0]({ 200, {}, "kept" });
    cr_assert(first.waitFor("kept"));
    first.write(getRequest);
    fixture.waitForRequests(3);
}

// Guards against one caller that exhausts the memory.
Test(httpListener, enforcesLimits)
{
    http_listener_settings settings;
    settings.maxBodyBytes = 100;
    settings.maxHeaderFields = 4;
    settings.maxHeaderValueBytes = 50;
    settings.maxTargetBytes = 30;
    listener_fixture fixture(settings);
    const std::vector<std::string> refused = {
        "GET /" + std::string(40, 'x') + " HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nA: " + std::string(60, 'x') + "\r\n\r\n",
        "GET / HTTP/1.1\r\nA: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n",
        "not http\r\n\r\n",
    };
    for (const auto& bytes : refused) {
        raw_client caller(fixture.context, fixture.listener.port());
        caller.write(bytes);
        caller.waitForClose();
    }
    raw_client caller(fixture.context, fixture.listener.port());
    caller.write("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'));
    cr_assert(caller.waitFor(R"("error":"too_large")"));
    cr_assert(fixture.requests.empty());
}

// Guards against responses out of order on a pipelined connection.
Test(httpListener, answersPipelinedRequestsInOrder)
{
    http_listener_settings settings;
    settings.maxPipelined = 2;
    listener_fixture fixture(settings);
    raw_client caller(fixture.context, fixture.listener.port());
    caller.write(getRequest + getRequest + getRequest);
    fixture.waitForRequests(2);
    fixture.context.poll();
    cr_assert_eq(fixture.requests.size(), 2);
    fixture.responders[1]({ 200, {}, "second" });
    fixture.responders[0]({ 200, {}, "first" });
    cr_assert(caller.waitFor("second"));
    cr_assert_lt(caller.received().find("first"), caller.received().find("second"));
    fixture.waitForRequests(3);
}

// Guards against a graceful shutdown that closes the connection of a request being read or answered, or that never
// ends.
Test(httpListener, gracefulShutdownFinishesRequests)
{
    listener_fixture fixture;
    raw_client idle(fixture.context, fixture.listener.port());
    raw_client waiting(fixture.context, fixture.listener.port());
    raw_client sending(fixture.context, fixture.listener.port());
    idle.write(getRequest);
    fixture.waitForRequests(1);
    fixture.responders[0]({ 200, {}, "idle answer" });
    cr_assert(idle.waitFor("idle answer"));
    waiting.write(getRequest);
    fixture.waitForRequests(2);
    sending.write("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
    fixture.context.poll();

    bool isStopped = false;
    fixture.listener.stop(std::chrono::milliseconds(0), [&] { isStopped = true; });
    idle.waitForClose();
    cr_assert_not(isStopped);
    fixture.responders[1]({ 200, {}, "late answer" });
    waiting.waitForClose();
    cr_assert(waiting.received().find("late answer") != std::string::npos);
    cr_assert(waiting.received().find("Connection: close") != std::string::npos);
    cr_assert_not(isStopped);
    sending.write("dy");
    fixture.waitForRequests(3);
    cr_assert(fixture.requests[2].body == "body");
    fixture.responders[2]({ 200, {}, "last answer" });
    sending.waitForClose();
    cr_assert(sending.received().find("last answer") != std::string::npos);
    while (!isStopped)
        fixture.context.run_one();
    cr_assert_eq(fixture.listener.connections(), 0);
}

// Guards against a crash when a response is sent after its caller has disconnected or its listener is destroyed.
Test(httpListener, lateResponseIsDropped)
{
    std::vector<http_responder> responders;
    asio::io_context context;
    {
        http_listener listener(context, {},
            [&](const http_request&, http_responder responder) { responders.push_back(std::move(responder)); });
        listener.open();
        http_client client(context);
        http_client_request request;
        request.address = "127.0.0.1:" + std::to_string(listener.port());
        request.timeout = std::chrono::milliseconds(20);
        std::optional<http_result> result;
        client.send(request, [&](http_result ended) { result = std::move(ended); });
        while (!result || responders.empty())
            context.run_one();
        cr_assert(result->failure == http_failure::TimedOut);
    }
    responders.front()({ 200, {}, "too late" });
    context.poll();
    cr_assert(responders.front().isAnswered());
}

// Guards against an order without a version that takes effect after its caller gave up: a process that was suspended
// reads it from a connection that is closed by then.
Test(httpListener, requestOfACallerThatIsGoneIsDroppedWhereItNeedsOne)
{
    http_listener_settings settings;
    settings.needsCaller = [](const http_request& request) { return request.target == "/order"; };
    listener_fixture fixture(settings);
    const auto port = fixture.listener.port();
    const auto requestFor = [](const std::string& target) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    };
    // The listener runs only after these callers have left.
    raw_client gone(fixture.context, port);
    gone.write(requestFor("/order"));
    gone.close();
    raw_client alsoGone(fixture.context, port);
    alsoGone.write(requestFor("/other"));
    alsoGone.close();
    raw_client waiting(fixture.context, port);
    waiting.write(requestFor("/order"));
    fixture.waitForRequests(2);
    while (fixture.context.poll() > 0) { }
    cr_assert_eq(fixture.requests.size(), 2);
    cr_assert_eq(fixture.requests.front().target, "/other");
    cr_assert_eq(fixture.requests.back().target, "/order");
}
