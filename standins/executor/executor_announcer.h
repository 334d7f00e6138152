#pragma once

#include "standins/executor/standin_executor_options.h"

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace chervilport {

class http_client;

/// Announces an executor to one of the instances, periodically and when its state changes. Goes to the next instance
/// after a failure.
class executor_announcer : public std::enable_shared_from_this<executor_announcer> {
public:
    /// Creates an announcer for the executor at `address`, an IP address and a port.
    executor_announcer(asio::io_context&, http_client&, standin_executor_options, std::string address);

    /// Announces the state (`ready`, `leaving`, `gone`) now and repeats it periodically.
    void announce(const std::string& state);

private:
    void send();
    void sendLater();

    http_client& m_client;
    standin_executor_options m_options;
    std::string m_address;
    asio::steady_timer m_timer;
    std::chrono::milliseconds m_period;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::size_t m_instance = 0;
    std::string m_state;
};

} // namespace chervilport
