#include "chervilport/http/curl_sockets.h"

#include <criterion/criterion.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <memory>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace chervilport;

namespace {

/// Connects a socket to an endpoint of the loopback interface.
void connectTo(int socket, const asio::ip::tcp::endpoint& remote)
{
    cr_assert_eq(::connect(socket, remote.data(), static_cast<socklen_t>(remote.size())), 0);
}

std::uint16_t localPortOf(int socket)
{
    asio::ip::tcp::endpoint local;
    auto length = static_cast<socklen_t>(local.capacity());
    cr_assert_eq(::getsockname(socket, local.data(), &length), 0);
    return local.port();
}

} // namespace

// Guards against requests that reach another server, and against files that are closed or overwritten: libcurl closes
// the socket of a connection that is not established in time itself, and its descriptor goes to the next socket or
// file.
Test(curlSockets, descriptorThatLibcurlClosedBelongsToItsNextOwner)
{
    asio::io_context context;
    std::unique_ptr<curl_sockets> sockets;
    sockets = std::make_unique<curl_sockets>(context, [&](int socket, int) { sockets->watch(socket, CURL_POLL_NONE); });
    const int first = sockets->open(AF_INET);
    sockets->watch(first, CURL_POLL_OUT);
    context.poll();
    ::close(first);
    const int second = sockets->open(AF_INET);
    cr_assert_eq(second, first, "the test needs the descriptor to be used again");
    context.poll();
    cr_assert_neq(::fcntl(second, F_GETFD), -1, "the new socket is open");
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    connectTo(second, acceptor.local_endpoint());
    cr_assert(!sockets->hasUnreadInput(localPortOf(second), "127.0.0.1", acceptor.local_endpoint().port()));
    sockets->close(second);
    cr_assert_eq(::fcntl(second, F_GETFD), -1, "the new socket is closed once");

    // The next owner is a file, and the client ends.
    const int third = sockets->open(AF_INET);
    sockets->watch(third, CURL_POLL_OUT);
    context.poll();
    ::close(third);
    const int file = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    cr_assert_eq(file, third, "the test needs the descriptor to be used again");
    sockets.reset();
    context.restart();
    context.poll();
    cr_assert_neq(::fcntl(file, F_GETFD), -1, "the file is open");
    ::close(file);
}

// Guards against a socket whose readiness is not reported any more, because its descriptor belonged to one before.
Test(curlSockets, reusedDescriptorIsWatched)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    std::vector<int> ready;
    curl_sockets sockets(context, [&](int socket, int) {
        ready.push_back(socket);
        sockets.watch(socket, CURL_POLL_NONE);
    });
    const int first = sockets.open(AF_INET);
    sockets.watch(first, CURL_POLL_IN);
    context.poll();
    ::close(first);
    ready.clear();
    const int second = sockets.open(AF_INET);
    cr_assert_eq(second, first, "the test needs the descriptor to be used again");
    connectTo(second, acceptor.local_endpoint());
    sockets.watch(second, CURL_POLL_OUT);
    constexpr int maxTurns = 10'000;
    for (int turn = 0; turn < maxTurns && ready.empty(); ++turn) {
        context.restart();
        context.poll();
    }
    cr_assert_eq(ready.size(), 1);
    cr_assert_eq(ready.front(), second);
}

// Guards against a leader that spends its processor time on looking for connected sockets: when it opens sessions with
// 3,000 workers, each new connection looked through all those that were still being opened
// (docs/incidents/burst-of-sessions-lost-the-leader.md).
Test(curlSockets, connectedSocketsAreFoundWithoutASearchThroughTheOthers)
{
    constexpr int connecting = 200;
    constexpr std::size_t connected = 50;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    const auto remote = acceptor.local_endpoint();
    std::set<int> ready;
    curl_sockets sockets(context, [&](int socket, int) {
        ready.insert(socket);
        sockets.watch(socket, CURL_POLL_NONE);
    });

    // Sockets that stay unconnected stand for the connections that are still being opened.
    std::vector<int> handles;
    handles.reserve(connecting);
    for (int i = 0; i < connecting; ++i)
        handles.push_back(sockets.open(AF_INET));
    std::vector<int> established;
    established.reserve(connected);
    for (std::size_t i = 0; i < connected; ++i) {
        established.push_back(sockets.open(AF_INET));
        connectTo(established.back(), remote);
        sockets.watch(established.back(), CURL_POLL_OUT);
    }
    while (ready.size() < connected)
        context.run_one();

    for (const int socket : established)
        cr_assert(!sockets.hasUnreadInput(localPortOf(socket), "127.0.0.1", remote.port()));
    cr_assert_eq(sockets.fullSearches(), 0);
    for (const int socket : handles)
        sockets.close(socket);
    for (const int socket : established)
        sockets.close(socket);
}
