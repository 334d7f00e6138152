#pragma once

#include "tests/session/child_process.h"
#include "tests/soak/link_proxy.h"
#include "tests/soak/link_table.h"
#include "tests/soak/node_id.h"

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilport::soak {

/// The instances of the soak: processes on loopback addresses of their own, each behind proxies. An instance advertises
/// the address of its proxies and listens on another address.
class soak_cluster {
public:
    /// Creates the proxies; starts no process. `program` is the path of chervilportd, `folder` an existing folder for
    /// settings, disks and logs.
    soak_cluster(asio::io_context&, std::string program, std::string folder, std::size_t instancesPerRole);

    /// Starts all instances for the first time.
    void startAll();

    /// Restarts an instance whose process has ended.
    void start(node_id);

    /// Sends a signal to the process of an instance.
    void signal(node_id, int number);

    /// Kills the process of an instance with SIGKILL and waits for its end.
    void kill(node_id);

    /// Deletes the disk of an instance whose process has ended.
    void wipeDisk(node_id);

    /// Limits the size of files that an instance writes, as a full disk does, or removes the limit.
    void setDiskFull(node_id, bool isFull);

    /// Writes the settings of an instance with the seeds in another order.
    void rotateSeeds(node_id);

    /// Returns the result of a process that has exited without `kill`, once: its exit code, or minus the signal number.
    /// Returns nothing while it runs.
    std::optional<int> takeExitStatus(node_id);

    /// Returns whether the process of an instance has been started and its end not yet collected.
    bool isRunning(node_id) const;

    /// Returns the number of instances of each role.
    std::size_t size() const { return m_size; }

    /// Returns the client address of an entry instance, selected by a random number.
    std::string anyEntryAddress(std::uint64_t randomNumber) const;

    /// Returns the address of a core instance for operators and executors, selected by a random number.
    std::string anyControlAddress(std::uint64_t randomNumber) const;

    /// Creates the proxy in front of an executor that listens on a port of 127.0.0.1.
    std::unique_ptr<link_proxy> makeExecutorProxy(std::size_t number, std::uint16_t port);

    /// Returns the address of the proxy in front of an executor.
    std::string executorAddress(std::size_t number) const;
    /// Returns the failure domain of an instance or executor.
    std::string failureDomainOf(std::size_t number) const;
    /// Returns the rack label of an executor.
    std::string rackOf(std::size_t number) const;

    /// Returns all proxies in front of an instance.
    std::vector<link_proxy*> proxiesOf(node_id);

    /// Returns the link faults of all proxies.
    link_table& links() { return m_links; }

private:
    /// The process of an instance and the proxies in front of it.
    struct instance {
        std::optional<child_process> process;
        std::vector<std::unique_ptr<link_proxy>> proxies;
    };

    std::string proxyIp(node_id) const;
    std::string bindIp(node_id) const;
    std::string dataFolder(node_id) const;
    std::string name(node_id) const;
    void launch(node_id);
    void writeSettings(node_id, bool isFirstStart, std::size_t firstSeed);
    void addProxy(node_id, std::uint16_t port);
    node_id sourceOf(std::uint16_t sourcePort, std::uint16_t proxyPort) const;

    asio::io_context& m_context;
    std::string m_program;
    std::string m_folder;
    std::size_t m_size;
    std::string m_networkPrefix;
    link_table m_links;
    std::map<node_id, instance> m_instances;
    std::map<std::size_t, std::string> m_executorAddresses;
};

} // namespace chervilport::soak
