#pragma once

#include "chervilport/http/http_message.h"
#include "standins/executor/executor_server.h"
#include "standins/executor/standin_executor_options.h"

#include <asio.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace chervilport {

class executor_announcer;
class http_client;

/// Simulated executor of the platform. Runs each request for its service time, refuses requests beyond its slots, and
/// records what it ran, for checks. The body of its response is `ran` and the body of the request.
class standin_executor : public std::enable_shared_from_this<standin_executor> {
public:
    /// Creates an executor that announces itself through the given client, which must outlive it.
    standin_executor(asio::io_context&, http_client&, standin_executor_options);
    ~standin_executor();

    /// Opens the listener on a free port of the loopback address and announces the executor.
    void start();

    /// Announces that the executor is leaving and gets no new requests.
    void announceLeaving();

    /// Returns the IP address and port of the listener; empty before `start`.
    const std::string& address() const { return m_address; }

private:
    void handle(const http_request&, const executor_server::responder&);
    void run(const http_request&, const executor_server::responder&, executor_fault);
    static void finish(const http_request&, const executor_server::responder&, executor_fault);
    executor_fault chooseFault(const http_request&);
    std::chrono::microseconds serviceTimeOf(const http_request&) const;
    std::string recordBody() const;

    asio::io_context& m_context;
    http_client& m_client;
    standin_executor_options m_options;
    std::unique_ptr<executor_server> m_server;
    std::shared_ptr<executor_announcer> m_announcer;
    std::string m_address;
    std::mt19937_64 m_random;
    std::map<std::string, int> m_runs;
    int m_running = 0;
    int m_maxRunning = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_busyMicroseconds = 0;
};

} // namespace chervilport
