#pragma once

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace chervilport {

/// Simulates the network between two instances: forwards the bytes of loopback connections, and can hold them back,
/// drop them without closing the connections, or reset the connections.
class tcp_relay {
public:
    /// Listens on a free port and forwards connections to the given port.
    explicit tcp_relay(std::uint16_t target);
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;
    ~tcp_relay();

    /// Returns the port of the listener.
    std::uint16_t port() const { return m_port; }

    /// Forwards new connections to another port; with 0 they are reset.
    void setTarget(std::uint16_t target) { m_target = target; }

    /// With true, drops all bytes without a reset. With false, resets the connections that lost bytes and forwards new
    /// ones again.
    void setDropBytes(bool dropBytes) { m_dropsBytes = dropBytes; }

    /// With true, holds all bytes back; with false, delivers them.
    void setHoldBytes(bool holdBytes) { m_holdsBytes = holdBytes; }

    /// Resets all connections.
    void resetAll() { m_resetAll = true; }

private:
    /// Two connected sockets.
    struct pair {
        int client = -1;
        int server = -1;
        bool hasLostBytes = false;
    };

    void run();
    void accept();
    bool pump(int from, int to, pair&) const;

    std::atomic<std::uint16_t> m_target;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::vector<pair> m_pairs;
    std::atomic<bool> m_dropsBytes = false;
    std::atomic<bool> m_holdsBytes = false;
    std::atomic<bool> m_resetAll = false;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

} // namespace chervilport
