#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
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

class job_ledger;
class soak_operator;
class soak_site;

/// The callers: they submit jobs, ask again under the same id after anything unclear, watch each job until its end and
/// cancel some.
class soak_callers {
public:
    /// Creates callers that submit one job each `interval` on average.
    soak_callers(asio::io_context&, soak_site&, job_ledger&, http_client&, soak_operator&, std::uint64_t seed);

    /// Begins to submit.
    void start();

    /// Submits nothing more; jobs that were accepted are watched on.
    void stopSubmitting() { m_submits = false; }

    /// Returns the number of submissions that have no end yet.
    std::size_t openSubmissions() const { return m_open; }

    std::size_t accepted() const { return m_accepted; }
    std::size_t refused() const { return m_refused; }
    std::size_t unclear() const { return m_unclear; }

private:
    struct submission;
    using answer_function = std::function<void(const http_result&)>;

    void scheduleNext();
    void submitNew();
    void submitWithRevokedKey();
    void send(const std::shared_ptr<submission>&);
    void handleAnswer(const std::shared_ptr<submission>&, const http_result&);
    void finish(const std::shared_ptr<submission>&, bool accepted);
    void watch(const std::string& id);
    void cancelLater(const std::string& id);
    void cancel(const std::string& id);
    void call(http_request, const answer_function&);
    void after(std::chrono::milliseconds, std::function<void()>);

    asio::io_context& m_context;
    soak_site& m_site;
    job_ledger& m_ledger;
    http_client& m_client;
    soak_operator& m_operator;
    std::mt19937_64 m_random;
    asio::steady_timer m_timer;
    bool m_submits = true;
    std::size_t m_open = 0;
    std::size_t m_accepted = 0;
    std::size_t m_refused = 0;
    std::size_t m_unclear = 0;
};

} // namespace chervilport::soak
