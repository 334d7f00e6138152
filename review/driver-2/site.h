#pragma once

#include "http.h"
#include "process.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/// Three control machines and nine entry machines on loopback addresses, with settings like those of the smallest
/// deployment.
class site {
public:
    /// Keeps the settings, disks and logs in a folder. Nothing runs yet. With `usesLinks`, the control machines listen
    /// to each other and to the entry machines at addresses of their own, and something has to forward connections.
    explicit site(std::string folder, bool usesLinks = false);

    /// Starts all machines with empty disks.
    void startAll();

    /// Starts one machine again, with its disk as it is.
    void startCore(std::size_t number);
    void startEntry(std::size_t number);

    process& core(std::size_t number) { return *m_cores.at(number); }
    process& entry(std::size_t number) { return *m_entries.at(number); }

    /// Addresses for clients, and for executors and the operator.
    endpoint front(std::size_t number) const;
    endpoint control(std::size_t number) const;

    /// Address at which other machines reach a control machine, and the one at which it listens to them.
    endpoint peer(std::size_t number) const;
    endpoint peerListener(std::size_t number) const;

    /// Returns a loopback address of this site for an executor.
    std::string executorIp(std::size_t number) const;

    /// Returns the number of the core machine that leads by its log, or -1.
    int leader() const;

    /// Returns the names of the machines whose process has ended by itself.
    std::string endedProcesses();

    static constexpr std::size_t controlMachines = 3;
    static constexpr std::size_t entryMachines = 9;

private:
    void writeSettings(bool isCore, std::size_t number, bool isFirstStart) const;
    std::string fileOf(bool isCore, std::size_t number, const char* suffix) const;
    std::string ipOf(bool isCore, std::size_t number) const;

    std::string m_folder;
    std::string m_prefix;
    bool m_usesLinks;
    std::vector<std::unique_ptr<process>> m_cores;
    std::vector<std::unique_ptr<process>> m_entries;
};

} // namespace review
