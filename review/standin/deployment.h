#pragma once

#include "review/standin/executor.h"
#include "review/standin/http.h"
#include "review/standin/record.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A process of the system.
struct node {
    std::string name;
    std::string role;
    std::string ip;
    std::string zone;
    pid_t pid = -1;
};

/// A small deployment on loopback addresses: one control machine in each of three zones, entry machines, all started
/// with the commands of the deploy file, and executors. The destructor ends all processes that it started.
class deployment {
public:
    /// Bounds that the settings files state; values of sites/ansanm-sched.toml.
    static constexpr std::int64_t recoverySeconds = 12;
    static constexpr std::int64_t finishSeconds = 14;
    static constexpr std::int64_t visibleMs = 3'000;
    static constexpr std::int64_t holdMaxMs = 10'000;
    static constexpr std::int64_t graceSeconds = 6;

    /// Number of entry machines of a small deployment: one a zone.
    static constexpr std::size_t fewEntries = 3;

    /// Takes free addresses and a temporary folder. Throws std::runtime_error.
    explicit deployment(record&, std::size_t entryCount = fewEntries);
    ~deployment();

    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts all processes, sends the first configuration and starts the executors, and waits until every executor has
    /// been acknowledged and four fifths of the entry machines are ready, or all when they are few. Throws
    /// std::runtime_error when that takes too long.
    void begin(const nlohmann::json& config, std::size_t executors, std::int64_t cpuOfExecutor);

    /// Sends a configuration until it is acknowledged.
    void configure(const nlohmann::json& config);

    /// Sends a client's call to an entry machine, with the key of the tenant.
    http_response client(
        std::size_t entry, const std::string& method, const std::string& target, const std::string& body = {});

    /// Sends a client's call to one entry machine after another until the answer is final for a sound client.
    http_response clientUntilAnswered(
        const std::string& method, const std::string& target, const std::string& body = {});

    /// Starts a process with the settings as they are after the first start.
    void launch(node&, bool isFirstStart);

    /// Sends a signal to a process.
    void signal(const node&, int number);

    /// Sends SIGKILL to a process and waits for its end.
    void kill(node&);

    /// Returns the control machine that leads by its metrics, or null.
    node* leader();

    /// Returns the numbers of the entry machines that say they are ready.
    std::vector<std::size_t> readyEntries() const;

    /// Sends SIGTERM to a process and waits for its end; sends SIGKILL after `grace_s`.
    void terminate(node&);

    /// Ends all processes.
    void end();

    std::vector<node>& control() { return m_control; }
    std::vector<node>& entries() { return m_entries; }
    const std::vector<std::unique_ptr<executor>>& executors() const { return m_executors; }
    /// Returns the addresses of the control machines, or that of one.
    std::vector<std::string> controlAddresses() const;
    static std::string controlAddress(const node&);
    /// Returns an unused loopback address.
    std::string ip(std::size_t number) const { return m_prefix + std::to_string(number); }
    /// Returns all starts and ends on all executors.
    std::vector<run_event> events() const;

private:
    std::string settingsOf(const node&, bool isFirstStart) const;

    record& m_record;
    std::string m_folder;
    std::string m_prefix;
    std::vector<node> m_control;
    std::vector<node> m_entries;
    std::vector<std::unique_ptr<executor>> m_executors;
};

/// Names of the deployment in configurations.
inline constexpr const char* serviceName = "huvo11a";
inline constexpr const char* hostName = "nony24.example";
inline constexpr const char* queuePrefix = "/lohu930/";
inline constexpr const char* clientKey = "d4a3hwrr6x73d3zji9n7";

/// Prefix of the queue of priority 0.
inline constexpr const char* urgentPrefix = "/pufi791/";

/// Returns a configuration with a queue of priority 1 and one of priority 0, as in the example of the pages, and one
/// tenant.
nlohmann::json makeConfig(int version);

/// Returns whether the disruption is left out: TROUBLE=0.
bool isTroubleOff();

/// Runs a scenario that writes to the record whose path is the only argument. Returns the exit code of the case: 0 when
/// the rule held, 1 when it was broken, 2 when the scenario could not run.
int runScenario(int argumentCount, char** arguments, int (*scenario)(record&));

/// Waits until the condition holds or the time has passed; returns the condition.
bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()>& condition);

} // namespace review
