#pragma once

#include "tests/session/child_process.h"
#include "tests/session/session_call.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chervilport {

/// Configuration of an instance.
struct session_instance {
    /// Id, from 1.
    std::uint64_t id = 1;
    /// Failure domain.
    std::string failureDomain = "local";
    /// Whether it has a data folder.
    bool hasDisk = true;
    /// Whether it is a voter of the fleet log.
    bool isFleetVoter = false;
};

/// Processes of a test on a loopback address of its own, so that its ports do not collide with those of other
/// processes. The destructor kills the processes and removes the folder.
class session_cluster {
public:
    /// Writes the settings of the instances; starts no process. `extraSettings` is TOML that is added to all settings.
    /// Throws std::runtime_error when no port can be bound.
    explicit session_cluster(std::vector<session_instance>, const std::string& extraSettings = {});
    ~session_cluster();

    session_cluster(const session_cluster&) = delete;
    session_cluster& operator=(const session_cluster&) = delete;

    /// Starts an instance, after killing its current process. `initialize` is the value of the option `--initialize`:
    /// `cluster`, `domain` or empty for none.
    void start(std::uint64_t id, const std::string& initialize = {});

    /// Starts all instances and waits until they are ready. The first instance initializes the cluster, the first of
    /// each further domain initializes its domain.
    void startAll();

    /// Kills an instance with SIGKILL.
    void kill(std::uint64_t id);

    /// Sends SIGTERM to an instance.
    void terminate(std::uint64_t id) const;

    /// Waits for the end of an instance and returns its exit code.
    int wait(std::uint64_t id);

    /// Returns the process id of an instance.
    pid_t pid(std::uint64_t id) const { return m_processes.at(id).pid(); }

    /// Returns the address of an instance's HTTP listener.
    std::string address(std::uint64_t id) const;

    /// Starts a stand-in that announces itself to the given instances. Returns its position for `standin`.
    std::size_t startStandin(const std::string& path, const std::vector<std::uint64_t>& instances,
        const std::vector<std::string>& arguments);

    /// Returns the process of a stand-in.
    child_process& standin(std::size_t position) { return m_standins.at(position); }

    /// Returns the temporary folder of the test.
    const std::string& folder() const { return m_folder; }

    /// Returns the status document of an instance; an empty object when it does not respond with status 200.
    nlohmann::json status(std::uint64_t id) const;

    /// Returns the leader of the domain log as the given instance reports it; 0 for none.
    std::uint64_t leader(std::uint64_t id) const;

private:
    void writeSettings(const session_instance&, const std::string& extraSettings) const;

    std::vector<session_instance> m_instances;
    std::string m_folder;
    std::string m_ip;
    std::map<std::uint64_t, std::uint16_t> m_httpPorts;
    std::map<std::uint64_t, std::uint16_t> m_peerPorts;
    std::map<std::uint64_t, child_process> m_processes;
    std::vector<child_process> m_standins;
};

/// Polls the condition until it returns true. Throws std::runtime_error with the description after two minutes, which
/// ends a test that hangs.
void waitUntil(const std::string& description, const std::function<bool()>&);

} // namespace chervilport
