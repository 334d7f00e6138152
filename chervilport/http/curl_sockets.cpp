#include "chervilport/http/curl_sockets.h"

#include "chervilport/logging/event_log.h"

#include <curl/curl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace chervilport {

struct curl_sockets::entry {
    explicit entry(asio::io_context& context)
        : socket(context)
    {
    }

    asio::ip::tcp::socket socket;
    int watchedEvents = CURL_POLL_NONE;
    /// Local port once the connection is established and indexed; 0 before.
    std::uint16_t localPort = 0;
    bool isWaitingToRead = false;
    bool isWaitingToWrite = false;
};

curl_sockets::curl_sockets(asio::io_context& context, ready_callback ready)
    : m_context(context)
    , m_ready(std::move(ready))
{
}

curl_sockets::~curl_sockets()
{
    while (!m_entries.empty())
        forget(m_entries.begin()->first);
}

int curl_sockets::open(int family)
{
    const int handle = ::socket(family, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
    if (handle < 0)
        return -1;
    // Before Asio knows the new socket: both have the same descriptor.
    if (m_entries.contains(handle))
        forget(handle);
    auto opened = std::make_shared<entry>(m_context);
    asio::error_code error;
    opened->socket.assign(family == AF_INET6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), handle, error);
    if (error) {
        ::close(handle);
        return -1;
    }
    m_entries[handle] = std::move(opened);
    m_unindexed.insert(handle);
    return handle;
}

/// Removes the entry of a socket that libcurl has closed itself, and leaves its descriptor to the next owner.
void curl_sockets::forget(int handle)
{
    const auto forgotten = remove(handle);
    asio::error_code ignored;
    forgotten->socket.release(ignored);
}

curl_sockets::entry_ptr curl_sockets::remove(int handle)
{
    const auto found = m_entries.find(handle);
    auto removed = found->second;
    m_entries.erase(found);
    m_unindexed.erase(handle);
    const auto indexed = m_socketsByLocalPort.find(removed->localPort);
    if (indexed != m_socketsByLocalPort.end() && indexed->second == handle)
        m_socketsByLocalPort.erase(indexed);
    removed->watchedEvents = CURL_POLL_REMOVE;
    return removed;
}

void curl_sockets::close(int socket)
{
    // libcurl gets all its sockets from `open`, so a missing entry means that the socket was closed before.
    if (!m_entries.contains(socket)) {
        logEvent("socket_closed_twice", { { "socket", socket } }, log_level::Warning);
        return;
    }
    const auto closed = remove(socket);
    asio::error_code ignored;
    closed->socket.close(ignored);
}

void curl_sockets::watch(int socket, int what)
{
    const auto found = m_entries.find(socket);
    // libcurl also reports internal sockets, such as the wake-up socket of its resolver. Numeric addresses need no
    // resolver.
    if (found == m_entries.end())
        return;
    const auto watched = found->second;
    watched->watchedEvents = what;
    if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
        waitFor(watched, true);
    if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
        waitFor(watched, false);
}

void curl_sockets::waitFor(const entry_ptr& watched, bool forReading)
{
    auto& isWaiting = forReading ? watched->isWaitingToRead : watched->isWaitingToWrite;
    if (isWaiting)
        return;
    isWaiting = true;
    const auto type = forReading ? asio::ip::tcp::socket::wait_read : asio::ip::tcp::socket::wait_write;
    watched->socket.async_wait(type, [this, watched, forReading](const asio::error_code& error) {
        (forReading ? watched->isWaitingToRead : watched->isWaitingToWrite) = false;
        // The entry of a closed socket is removed, and its descriptor may already belong to a new socket.
        if (error == asio::error::operation_aborted || watched->watchedEvents == CURL_POLL_REMOVE)
            return;
        const auto event = forReading ? CURL_POLL_IN : CURL_POLL_OUT;
        if ((watched->watchedEvents & event) == 0)
            return;
        const auto handle = watched->socket.native_handle();
        // A socket becomes writable when it is connected. Indexing it now spares the search through all sockets that
        // are being connected, which takes most of the time while thousands are.
        if (!forReading)
            indexIfEstablished(handle);
        m_ready(handle, error ? CURL_CSELECT_ERR : (forReading ? CURL_CSELECT_IN : CURL_CSELECT_OUT));
        // libcurl reports only changes, so the wait is repeated until it changes the watched events.
        if (watched->socket.is_open() && watched->watchedEvents != CURL_POLL_REMOVE
            && (watched->watchedEvents & event) != 0)
            waitFor(watched, forReading);
    });
}

bool curl_sockets::tryIndex(int handle)
{
    const auto& each = m_entries.at(handle);
    asio::error_code error;
    each->socket.remote_endpoint(error);
    // The local port of an unconnected socket is not final.
    if (error)
        return false;
    each->localPort = each->socket.local_endpoint(error).port();
    m_socketsByLocalPort[each->localPort] = handle;
    return true;
}

void curl_sockets::indexIfEstablished(int handle)
{
    const auto found = m_unindexed.find(handle);
    if (found != m_unindexed.end() && tryIndex(handle))
        m_unindexed.erase(found);
}

void curl_sockets::indexAllEstablished()
{
    ++m_fullSearches;
    std::erase_if(m_unindexed, [this](int handle) { return tryIndex(handle); });
}

bool curl_sockets::hasUnreadInput(std::uint16_t localPort, const std::string& remoteAddress, std::uint16_t remotePort)
{
    if (!m_socketsByLocalPort.contains(localPort))
        indexAllEstablished();
    const auto indexed = m_socketsByLocalPort.find(localPort);
    // A connection that is not found cannot be checked, so it is reported as not usable.
    if (indexed == m_socketsByLocalPort.end())
        return true;
    asio::error_code error;
    const asio::ip::tcp::endpoint remote(asio::ip::make_address(remoteAddress, error), remotePort);
    if (m_entries.at(indexed->second)->socket.remote_endpoint(error) != remote || error)
        return true;
    pollfd request { indexed->second, POLLIN, 0 };
    return poll(&request, 1, 0) != 0;
}

} // namespace chervilport
