#pragma once

#include "benchmarks/requests/child_process.h"
#include "chervilport/http/http_client.h"

#include <asio.hpp>
#include <filesystem>
#include <list>
#include <string>
#include <vector>

namespace chervilport {

/// Hosts and executors as processes of their own.
class test_bed {
public:
    /// Starts the hosts, or none.
    test_bed(asio::io_context&, http_client&, int hosts);
    ~test_bed();

    test_bed(const test_bed&) = delete;
    test_bed& operator=(const test_bed&) = delete;

    /// Starts a process with so many executors and waits for their addresses.
    void addExecutors(int count, const std::vector<std::string>& arguments = {});

    /// Waits until a request at each host reaches an executor and the shares have settled.
    void waitUntilReady();

    /// Addresses of the hosts.
    const std::vector<std::string>& hosts() const { return m_hosts; }
    /// Addresses of the executors.
    const std::vector<std::string>& executors() const { return m_executors; }
    /// Process of a host.
    child_process& host(std::size_t index);
    /// Largest resident memory of the hosts in megabytes.
    double residentMb() const;
    /// Lets time pass while connections are served.
    void pass(std::chrono::milliseconds);

private:
    bool answers(const std::string& host);

    asio::io_context& m_context;
    http_client& m_client;
    std::filesystem::path m_folder;
    std::vector<std::string> m_hosts;
    std::vector<std::string> m_executors;
    std::list<child_process> m_hostProcesses;
    std::list<child_process> m_executorProcesses;
};

} // namespace chervilport
