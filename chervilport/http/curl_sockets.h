#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace chervilport {

/// The open sockets of libcurl; Asio waits for their readiness. libcurl closes them by `close`, but the socket of a
/// connection that was not established in time it closes itself. The entry of such a socket stays until its descriptor
/// is used again here; until then, the descriptor can belong to any other socket or file.
class curl_sockets {
public:
    /// Receives a socket and its readiness (`CURL_CSELECT_IN`, `CURL_CSELECT_OUT` or `CURL_CSELECT_ERR`).
    using ready_callback = std::function<void(int socket, int readiness)>;

    /// Creates an empty set.
    curl_sockets(asio::io_context&, ready_callback);
    curl_sockets(const curl_sockets&) = delete;
    curl_sockets& operator=(const curl_sockets&) = delete;
    /// libcurl has ended and closed all its sockets.
    ~curl_sockets();

    /// Opens a TCP socket; returns -1 if that fails.
    int open(int family);
    /// Closes a socket.
    void close(int socket);
    /// Sets what to wait for on a socket: `CURL_POLL_IN`, `CURL_POLL_OUT`, `CURL_POLL_INOUT` or `CURL_POLL_REMOVE`.
    void watch(int socket, int what);
    /// Returns whether bytes or an end of stream are unread on the established connection with these endpoints, or the
    /// connection is not found. Such a connection must not be used for a request: the bytes would be read as its
    /// response.
    bool hasUnreadInput(std::uint16_t localPort, const std::string& remoteAddress, std::uint16_t remotePort);

    /// Returns how often all sockets that were not known to be connected were looked through.
    std::uint64_t fullSearches() const { return m_fullSearches; }

private:
    struct entry;
    using entry_ptr = std::shared_ptr<entry>;

    entry_ptr remove(int handle);
    void forget(int handle);
    void waitFor(const entry_ptr&, bool forReading);
    bool tryIndex(int handle);
    void indexIfEstablished(int handle);
    void indexAllEstablished();

    asio::io_context& m_context;
    ready_callback m_ready;
    std::map<int, entry_ptr> m_entries;
    /// Sockets of established connections by local port, and the open sockets that are not yet in this index.
    std::unordered_map<std::uint16_t, int> m_socketsByLocalPort;
    std::set<int> m_unindexed;
    std::uint64_t m_fullSearches = 0;
};

} // namespace chervilport
