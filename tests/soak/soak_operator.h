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

/// The operators: they change the configuration, sometimes two at once under one version, ask again after anything
/// unclear, and read it back at any instance.
class soak_operator {
public:
    static constexpr const char* host = "soak.example";
    static constexpr const char* prefix = "/jobs/";
    static constexpr const char* permanentKey = "key-that-stays";
    /// Failed runs after which a job has failed; executors that fail all their runs must not use them up.
    static constexpr int maxAttempts = 12;

    soak_operator(asio::io_context&, soak_cluster&, invariant_checker&, http_client&, std::uint64_t seed);

    /// Sends the first configuration, and changes from then on.
    void start();

    /// Changes nothing more.
    void stopChanging() { m_changeTimer.stop(); }

    /// Whether the first configuration was acknowledged.
    bool isConfigured() const { return m_acknowledgedVersion > 0; }

    /// Returns a key that has been taken away long enough to be refused everywhere, or nothing.
    std::string revokedKey();

    std::uint64_t acknowledgedVersion() const { return m_acknowledgedVersion; }
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
    /// Documents that were sent, by version.
    std::map<std::uint64_t, std::set<std::string>> m_sentDocuments;
    /// Documents that were read, by version; one version has one content.
    std::map<std::uint64_t, std::string> m_receivedDocuments;
    /// Keys of versions that a newer acknowledged one has replaced, with the time of that acknowledgement.
    std::vector<std::pair<std::string, steady_time>> m_revokedKeys;
    /// Temporary keys of the versions from the last acknowledged one on.
    std::map<std::uint64_t, std::vector<std::string>> m_temporaryKeys;
};

} // namespace chervilport::soak
