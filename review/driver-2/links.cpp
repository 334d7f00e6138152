#include "links.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr int stepMs = 10;
    constexpr std::size_t readBytes = 65'536;
    constexpr int backlog = 64;
    /// Attempts to find the process that has opened a connection.
    constexpr int ownerAttempts = 100;
    /// Time from the end of a cut until a connection that was opened during it is established: the opening packet is
    /// sent again after a second or more.
    constexpr std::chrono::milliseconds openingDelay { 500 };

    /// One direction of a connection.
    struct direction {
        int from = -1;
        int to = -1;
        std::string held;
        bool hasEnded = false;
        bool isClosed = false;
    };

    sockaddr_in toSocketAddress(const endpoint& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        result.sin_addr.s_addr = ::inet_addr(address.ip.c_str());
        return result;
    }

    /// Returns the inode number of the socket of this machine that has the address as its own, or an empty text.
    std::string inodeOf(const sockaddr_in& address)
    {
        std::array<char, 16> wanted {};
        std::snprintf(
            wanted.data(), wanted.size(), "%08X:%04X", address.sin_addr.s_addr, unsigned { ntohs(address.sin_port) });
        std::ifstream table("/proc/net/tcp");
        std::string line;
        while (std::getline(table, line)) {
            std::istringstream fields(line);
            std::array<std::string, 10> each;
            for (auto& field : each)
                fields >> field;
            if (each[1] == wanted.data())
                return each[9];
        }
        return {};
    }

    void receive(direction& way)
    {
        std::string part(readBytes, '\0');
        const auto count = ::recv(way.from, part.data(), part.size(), MSG_DONTWAIT);
        if (count > 0)
            way.held.append(part, 0, static_cast<std::size_t>(count));
        else if (count == 0 || (errno != EAGAIN && errno != EINTR))
            way.hasEnded = true;
    }

    void flush(direction& way)
    {
        while (!way.held.empty()) {
            const auto count = ::send(way.to, way.held.data(), way.held.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count <= 0)
                return;
            way.held.erase(0, static_cast<std::size_t>(count));
        }
        if (way.hasEnded && !way.isClosed) {
            ::shutdown(way.to, SHUT_WR);
            way.isClosed = true;
        }
    }

} // namespace

links::links(site& machines)
    : m_site(machines)
{
    for (std::size_t core = 0; core < site::controlMachines; ++core) {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int enabled = 1;
        ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        const auto address = toSocketAddress(m_site.peer(core));
        if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || ::listen(listener, backlog) != 0)
            throw std::runtime_error("cannot listen on " + toText(m_site.peer(core)));
        const std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, core, listener] { acceptLoop(core, listener); });
    }
}

links::~links()
{
    m_stopped = true;
    // The loops that accept end first; only they add threads.
    for (std::size_t i = 0; i < site::controlMachines; ++i)
        m_threads[i].join();
    for (std::size_t i = site::controlMachines; i < m_threads.size(); ++i)
        m_threads[i].join();
}

void links::acceptLoop(std::size_t core, int listener)
{
    while (!m_stopped) {
        pollfd each { listener, POLLIN, 0 };
        if (::poll(&each, 1, stepMs) <= 0)
            continue;
        const int from = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = toSocketAddress(m_site.peerListener(core));
        if (from < 0 || ::connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            ::close(from);
            ::close(to);
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, from, to, core] { forward(from, to, core); });
    }
    ::close(listener);
}

int links::sourceOf(int connection)
{
    sockaddr_in remote {};
    socklen_t size = sizeof remote;
    ::getpeername(connection, reinterpret_cast<sockaddr*>(&remote), &size);
    for (int i = 0; i < ownerAttempts && !m_stopped; ++i) {
        const auto inode = inodeOf(remote);
        for (std::size_t number = 0; !inode.empty() && number < site::controlMachines; ++number) {
            if (m_site.core(number).ownsSocket(inode))
                return static_cast<int>(number);
        }
        for (std::size_t number = 0; !inode.empty() && number < site::entryMachines; ++number) {
            if (m_site.entry(number).ownsSocket(inode))
                return -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(stepMs));
    }
    return -1;
}

bool links::isHeld(int source, std::size_t target) const
{
    const int cutOff = m_cutOff;
    const bool isBetweenCores = source >= 0;
    return cutOff >= 0 && isBetweenCores && (source == cutOff || static_cast<int>(target) == cutOff);
}

void links::forward(int from, int to, std::size_t core)
{
    const int enabled = 1;
    ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    ::setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const int source = sourceOf(from);
    if (isHeld(source, core)) {
        while (!m_stopped && isHeld(source, core))
            std::this_thread::sleep_for(std::chrono::milliseconds(stepMs));
        std::this_thread::sleep_for(openingDelay);
    }
    std::array<direction, 2> ways { direction { from, to, {}, false, false },
        direction { to, from, {}, false, false } };
    while (!m_stopped && !(ways[0].isClosed && ways[1].isClosed)) {
        std::array<pollfd, 2> ready { pollfd { from, POLLIN, 0 }, pollfd { to, POLLIN, 0 } };
        for (std::size_t i = 0; i < ways.size(); ++i)
            ready[i].fd = ways[i].hasEnded ? -1 : ways[i].from;
        ::poll(ready.data(), ready.size(), stepMs);
        for (auto& way : ways) {
            if (!way.hasEnded)
                receive(way);
            if (!isHeld(source, core))
                flush(way);
        }
    }
    ::close(from);
    ::close(to);
}

} // namespace review
