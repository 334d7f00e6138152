#pragma once

#include "chervilport/core/repeating_timer.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chervilport {
class http_client;
struct http_result;
}

namespace chervilport::soak {

class invariant_checker;
class soak_cluster;

/// Simulated operators. They change the configuration, sometimes with two documents under one version at once, retry
/// until a change succeeds, and read the configuration at random instances.
class soak_operator {
public:
    /// Host of the route to the jobs.
    static constexpr const char* host = "soak.example";
    /// Path prefix of the route to the jobs.
    static constexpr const char* prefix = "/jobs/";
    /// Path prefix of the route with priority 0; it takes the jobs whose id begins with this digit.
    static constexpr const char* urgentPrefix = "/jobs/0";
    /// API key of the first workspace that all configurations contain.
    static constexpr const char* permanentKey = "key-that-stays";
    /// API key of the second workspace, which has a smaller guarantee.
    static constexpr const char* secondKey = "key-of-the-second-workspace";
    /// Failed runs after which a job fails; large enough that executors with `failsRuns` do not exhaust it.
    static constexpr int maxAttempts = 12;

    /// Creates operators that have not started.
    soak_operator(asio::io_context&, soak_cluster&, invariant_checker&, http_client&, std::uint64_t seed);

    /// Sends the first configuration and starts the periodic changes and reads.
    void start();

    /// Stops the changes; reads continue.
    void stopChanging() { m_changeTimer.stop(); }

    /// Returns whether a configuration has been acknowledged.
    bool isConfigured() const { return m_acknowledgedVersion > 0; }

    /// Returns a random key that was revoked long enough ago to be refused by all instances; empty when there is none.
    std::string revokedKey();

    /// Returns the highest acknowledged version; 0 for none.
    std::uint64_t acknowledgedVersion() const { return m_acknowledgedVersion; }
    /// Returns the number of successful reads.
    std::size_t reads() const { return m_reads; }

private:
    using steady_time = std::chrono::steady_clock::time_point;

    std::string makeDocument(std::uint64_t version);
    void changeConfiguration();
    void put(std::uint64_t version, const std::string& document);
    void handlePutResponse(std::uint64_t version, const std::string& document, const http_result&);
    void recordAcknowledged(std::uint64_t version);
    void read();
    void checkRead(std::uint64_t acknowledgedBefore, const http_result&);

    asio::io_context& m_context;
    soak_cluster& m_cluster;
    invariant_checker& m_checker;
    http_client& m_client;
    std::mt19937_64 m_random;
    repeating_timer m_changeTimer;
    repeating_timer m_readTimer;
    std::uint64_t m_nextVersion = 1;
    std::uint64_t m_acknowledgedVersion = 0;
    std::size_t m_reads = 0;
    /// Sent documents by version.
    std::map<std::uint64_t, std::set<std::string>> m_sentDocuments;
    /// First read document of each version.
    std::map<std::uint64_t, std::string> m_receivedDocuments;
    /// Keys of versions older than an acknowledged version, with the time of the acknowledgement.
    std::vector<std::pair<std::string, steady_time>> m_revokedKeys;
    /// Temporary keys by version, from the last acknowledged version on.
    std::map<std::uint64_t, std::vector<std::string>> m_temporaryKeys;
};

} // namespace chervilport::soak
