#pragma once

#include "benchmarks/requests/child_process.h"
#include "chervilport/http/http_client.h"

#include <asio.hpp>
#include <filesystem>
#include <list>
#include <string>
#include <vector>

namespace chervilport {

/// Instances and executors as child processes.
class test_bed {
public:
    /// Starts the instances of one failure domain.
    test_bed(asio::io_context&, http_client&, int instances);
    ~test_bed();

    test_bed(const test_bed&) = delete;
    test_bed& operator=(const test_bed&) = delete;

    /// Starts a process with `count` executors and waits for their addresses. Throws std::runtime_error after 20 s.
    void addExecutors(int count, const std::vector<std::string>& arguments = {});

    /// Waits until each instance returns the result of an executor and the slot shares have settled. Throws
    /// std::runtime_error after 20 s.
    void waitUntilReady();

    /// Addresses of the instances.
    const std::vector<std::string>& instances() const { return m_instances; }
    /// Addresses of the executors.
    const std::vector<std::string>& executors() const { return m_executors; }
    /// Process of an instance.
    child_process& instance(std::size_t index);
    /// Largest resident memory of the instances in megabytes.
    double residentMb() const;
    /// Runs the io_context for the given time.
    void runFor(std::chrono::milliseconds);

private:
    void startInstance(std::size_t index, const std::string& peerAddress, const std::string& list);
    bool isServing(const std::string& instance);

    asio::io_context& m_context;
    http_client& m_client;
    std::filesystem::path m_folder;
    std::vector<std::string> m_instances;
    std::vector<std::string> m_executors;
    std::string m_lastResponse;
    std::list<child_process> m_instanceProcesses;
    std::list<child_process> m_executorProcesses;
};

} // namespace chervilport
