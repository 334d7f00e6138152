#pragma once

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace chervilport {

/// A stand-in for the network between two instances: passes the bytes of loopback connections on, and can lose them
/// silently or cut the connections.
class tcp_relay {
public:
    /// Listens on a free port and passes connections on to the given port.
    explicit tcp_relay(std::uint16_t target);
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;
    ~tcp_relay();

    /// Returns the port that is listened on.
    std::uint16_t port() const { return m_port; }

    /// Passes new connections on to another port; 0 resets them.
    void setTarget(std::uint16_t target) { m_target = target; }

    /// With true, swallows all bytes without a reset; with false, cuts the connections that lost bytes and passes new
    /// ones on again.
    void setDropBytes(bool dropBytes) { m_dropsBytes = dropBytes; }

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
    std::atomic<bool> m_resetAll = false;
    std::atomic<bool> m_stop = false;
    std::thread m_thread;
};

} // namespace chervilport
