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

/// The instances of the soak as processes on loopback addresses of their own, each behind proxies. An instance is
/// known by the address of its proxies and listens on another one.
class soak_cluster {
public:
    /// Takes the program and a folder for settings, disks and logs.
    soak_cluster(asio::io_context&, std::string program, std::string folder, std::size_t instancesPerRole);

    /// Starts all instances for the first time.
    void startAll();

    /// Starts an instance again after its process has ended.
    void start(node_id);

    /// Sends a signal.
    void signal(node_id, int number);

    /// Ends a process at once.
    void kill(node_id);

    /// Deletes the disk of an instance whose process has ended.
    void wipeDisk(node_id);

    /// Lets files of an instance grow no further, or as far as they want again.
    void setDiskFull(node_id, bool full);

    /// Writes the settings with the seeds in another order.
    void rotateSeeds(node_id);

    /// Returns whether the process runs; one that has ended by itself is reported once with its exit status.
    std::optional<int> takeExitStatus(node_id);

    /// Returns whether a process is there.
    bool isRunning(node_id) const;

    std::size_t size() const { return m_size; }

    /// Returns the address for callers of an entry instance, by lot.
    std::string anyEntryAddress(std::uint64_t randomNumber) const;

    /// Returns the address for operators and executors of a core instance, by lot.
    std::string anyControlAddress(std::uint64_t randomNumber) const;

    /// Creates the proxy before an executor.
    std::unique_ptr<link_proxy> makeExecutorProxy(std::size_t number, std::uint16_t port);

    std::string executorAddress(std::size_t number) const;
    std::string failureDomainOf(std::size_t number) const;
    std::string rackOf(std::size_t number) const;

    /// Returns all proxies before an instance.
    std::vector<link_proxy*> proxiesOf(node_id);

    link_table& links() { return m_links; }

private:
    /// An instance.
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
