#include "review/driver-3/tcp_socket.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace chervilport::review {

namespace {

    constexpr std::size_t readSize = 65'536;
    constexpr int backlog = 128;

    sockaddr_in addressOf(const std::string& ip, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1)
            throw std::runtime_error(ip + " is not an IPv4 address");
        return address;
    }

    bool waitFor(int descriptor, short events, std::chrono::milliseconds timeout)
    {
        pollfd waiting { descriptor, events, 0 };
        return ::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0;
    }

    tcp_socket newSocket() { return tcp_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)); }

    void setNoDelay(int descriptor)
    {
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

} // namespace

tcp_socket::~tcp_socket()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

tcp_socket::tcp_socket(tcp_socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept
{
    std::swap(m_descriptor, other.m_descriptor);
    return *this;
}

bool tcp_socket::write(const std::string& bytes) const
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto written = ::send(m_descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (written > 0)
            done += static_cast<std::size_t>(written);
        else if (errno != EINTR)
            return false;
    }
    return true;
}

std::optional<std::string> tcp_socket::read(std::chrono::milliseconds timeout) const
{
    if (!waitFor(m_descriptor, POLLIN, timeout))
        return std::nullopt;
    std::array<char, readSize> buffer {};
    const auto size = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (size <= 0)
        return std::nullopt;
    return std::string(buffer.data(), static_cast<std::size_t>(size));
}

tcp_socket connectTo(const std::string& address, std::chrono::milliseconds timeout)
{
    const auto colon = address.find(':');
    const auto target = addressOf(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    auto opened = newSocket();
    const auto descriptor = opened.descriptor();
    const auto flags = ::fcntl(descriptor, F_GETFL);
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || !waitFor(descriptor, POLLOUT, timeout)
            || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return tcp_socket();
    }
    ::fcntl(descriptor, F_SETFL, flags);
    setNoDelay(descriptor);
    return opened;
}

tcp_socket listenOn(const std::string& ip)
{
    auto opened = newSocket();
    const auto local = addressOf(ip, 0);
    if (::bind(opened.descriptor(), reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0
        || ::listen(opened.descriptor(), backlog) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    return opened;
}

int localPortOf(const tcp_socket& socket)
{
    sockaddr_in local {};
    socklen_t size = sizeof local;
    ::getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&local), &size);
    return ntohs(local.sin_port);
}

int findFreePort(const std::string& ip) { return localPortOf(listenOn(ip)); }

} // namespace chervilport::review
