#include "tests/transport/tcp_relay.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace chervilport {

namespace {

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    /// Closes the socket with a reset, as the kernel does for a killed process with unread bytes.
    void closeWithReset(int fd)
    {
        const linger immediate { 1, 0 };
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
        ::close(fd);
    }

} // namespace

tcp_relay::tcp_relay(std::uint16_t target)
    : m_target(target)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("the relay cannot bind a port");
    ::listen(m_listener, SOMAXCONN);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

tcp_relay::~tcp_relay()
{
    m_stop = true;
    m_thread.join();
    for (const auto& each : m_pairs) {
        closeWithReset(each.client);
        closeWithReset(each.server);
    }
    ::close(m_listener);
}

void tcp_relay::run()
{
    while (!m_stop) {
        std::vector<pollfd> waiting { { m_listener, POLLIN, 0 } };
        for (const auto& each : m_pairs) {
            waiting.push_back({ each.client, POLLIN, 0 });
            waiting.push_back({ each.server, POLLIN, 0 });
        }
        ::poll(waiting.data(), waiting.size(), 1);
        const bool cutAll = m_resetAll.exchange(false);
        m_pairs.erase(std::remove_if(m_pairs.begin(), m_pairs.end(),
                          [&](pair& each) {
                              const bool open = !cutAll && pump(each.client, each.server, each)
                                  && pump(each.server, each.client, each) && (m_dropsBytes || !each.hasLostBytes);
                              if (open)
                                  return false;
                              closeWithReset(each.client);
                              closeWithReset(each.server);
                              return true;
                          }),
            m_pairs.end());
        if ((waiting[0].revents & POLLIN) != 0)
            accept();
    }
}

void tcp_relay::accept()
{
    const int client = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
        return;
    const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(m_target);
    if (::connect(server, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        closeWithReset(client);
        ::close(server);
        return;
    }
    m_pairs.push_back({ client, server });
}

bool tcp_relay::pump(int from, int to, pair& each) const
{
    if (m_holdsBytes)
        return true;
    char buffer[65536];
    const auto count = ::recv(from, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count < 0)
        return errno == EAGAIN || errno == EINTR;
    if (m_dropsBytes) {
        each.hasLostBytes = true;
        return count != 0;
    }
    return count != 0 && ::send(to, buffer, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

} // namespace chervilport
