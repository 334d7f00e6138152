#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace chervilport {
class http_client;
struct http_request;
struct http_result;
}

namespace chervilport::soak {

class invariant_checker;
class soak_operator;
class soak_cluster;

/// Simulated clients. They submit jobs, retry a submission under the same id until it is accepted or the attempts are
/// used up, poll the state of accepted jobs, and cancel some.
class soak_clients {
public:
    /// Creates clients that submit jobs at random intervals drawn from the seed.
    soak_clients(
        asio::io_context&, soak_cluster&, invariant_checker&, http_client&, soak_operator&, std::uint64_t seed);

    /// Starts to submit. In the middle third of `length` jobs arrive faster than the executors can run them.
    void start(std::chrono::milliseconds length);

    /// Stops submitting new jobs. Pending submissions are retried and accepted jobs polled as before.
    void stopSubmitting() { m_isSubmitting = false; }

    /// Returns the number of submissions without a final outcome.
    std::size_t pendingSubmissions() const { return m_pending; }

    /// Returns the number of accepted submissions.
    std::size_t accepted() const { return m_accepted; }
    /// Returns the number of submissions of which all attempts were refused or not sent.
    std::size_t refused() const { return m_refused; }
    /// Returns the number of submissions given up with an unknown outcome.
    std::size_t unknownOutcomes() const { return m_unknownOutcomes; }

private:
    struct submission;
    using response_callback = std::function<void(const http_result&)>;

    void scheduleNext();
    void submitJob();
    void submitWithRevokedKey();
    void send(const std::shared_ptr<submission>&);
    void handleResponse(const std::shared_ptr<submission>&, const http_result&);
    void finish(const std::shared_ptr<submission>&, bool isAccepted);
    void pollState(const std::string& id);
    void cancelLater(const std::string& id);
    void cancel(const std::string& id);
    void call(http_request, const response_callback&);
    void runAfter(std::chrono::milliseconds, std::function<void()>);

    asio::io_context& m_context;
    soak_cluster& m_cluster;
    invariant_checker& m_checker;
    http_client& m_httpClient;
    soak_operator& m_operators;
    std::mt19937_64 m_random;
    asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_overloadBegin;
    std::chrono::steady_clock::time_point m_overloadEnd;
    bool m_isSubmitting = true;
    std::size_t m_pending = 0;
    std::size_t m_accepted = 0;
    std::size_t m_refused = 0;
    std::size_t m_unknownOutcomes = 0;
};

} // namespace chervilport::soak
