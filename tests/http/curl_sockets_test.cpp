#include "chervilport/http/curl_sockets.h"

#include <criterion/criterion.h>
#include <curl/curl.h>
#include <set>
#include <sys/socket.h>
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
