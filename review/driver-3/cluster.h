#pragma once

#include "review/driver-3/http_exchange.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chervilport::review {

class record;

/// Size of a deployment.
struct cluster_options {
    std::size_t cores = 3;
    std::size_t edges = 2;
};

/// The project's own processes, each with the command of the deploy file, on loopback addresses of its own. The
/// platform's part is played as DEPLOY.md tells it: settings files, data folders, signals and restarts.
class cluster {
public:
    cluster(const cluster_options&, record&);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Starts all processes for the first time, all after the first core with a delay.
    void startAll(std::chrono::milliseconds delay = std::chrono::milliseconds(0));

    /// Starts a core that was killed. `bootstrap` is false from now on.
    void startCore(std::size_t core);

    /// Kills a core and waits for its end.
    void killCore(std::size_t core);

    /// Empties the data folder of a core that was killed.
    void wipeCore(std::size_t core);

    /// Returns the core that says in its log that it took leadership last, if any has.
    std::optional<std::size_t> findLeader() const;

    /// Returns whether each process still runs that was not killed, and writes those that don't to the record.
    bool areAllRunning();

    /// Returns the addresses that take calls of operators and executors.
    std::vector<std::string> controlAddresses() const;
    std::string controlAddress(std::size_t core) const;
    /// Returns the address that takes calls of clients.
    std::string frontAddress(std::size_t edge) const;
    /// Returns an IP address for a stand-in.
    std::string standinIp(std::size_t number) const;

private:
    struct machine {
        std::string name;
        std::string ip;
        std::string dataFolder;
        std::string logPath;
        bool isCore = false;
        pid_t process = -1;
    };

    void writeSettings(const machine&, bool isFirstStart) const;
    void launch(machine&);

    record& m_log;
    std::string m_folder;
    std::string m_networkPrefix;
    int m_controlPort = 0;
    int m_frontPort = 0;
    int m_readyPort = 0;
    int m_internalPort = 0;
    std::vector<machine> m_cores;
    std::vector<machine> m_edges;
};

} // namespace chervilport::review
