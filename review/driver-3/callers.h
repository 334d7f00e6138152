#pragma once

#include "review/driver-3/http_exchange.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace chervilport::review {

class cluster;
class record;

/// A queue of the configuration.
struct queue_options {
    std::string name;
    std::string prefix;
    std::int64_t priority = 1;
    std::int64_t maxAttempts = 3;
};

/// A tenant of the configuration.
struct tenant_options {
    std::string name;
    std::string key;
    std::int64_t guaranteedAccelerators = 0;
};

/// The service, host and timeouts of all cases.
inline constexpr const char* serviceName = "dispatch1";
inline constexpr const char* hostName = "nony24.example";

/// Returns a configuration as the operator sends it.
nlohmann::json makeConfig(std::int64_t version, const std::vector<queue_options>&, const std::vector<tenant_options>&);

/// The operator. Sends the same again to the next node until a call has a clear response.
class site_operator {
public:
    site_operator(const cluster&, record&);

    /// Sends a configuration until it is acknowledged, and returns the node that acknowledged it; nothing if that takes
    /// too long.
    std::optional<std::size_t> putConfig(const nlohmann::json&, std::chrono::seconds patience);

    /// Reads the configuration at a node once. Returns its version, or nothing without a 200.
    std::optional<std::int64_t> readVersion(std::size_t core);

private:
    const cluster& m_cluster;
    record& m_log;
};

/// Clients of a tenant.
class site_client {
public:
    site_client(const cluster&, record&, std::string key);

    /// Hands a job in until it is accepted. Returns whether it was.
    bool submit(const std::string& prefix, const std::string& job, const nlohmann::json& body);

    /// Returns the state of a job, or the status of the response, or `none` without one.
    std::string stateOf(const std::string& prefix, const std::string& job);

private:
    std::optional<http_response> call(const std::string& method, const std::string& path, const std::string& body);

    const cluster& m_cluster;
    record& m_log;
    std::string m_key;
    std::size_t m_calls = 0;
};

} // namespace chervilport::review
