#include "site.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    constexpr std::uint16_t frontPort = 8521;
    constexpr std::uint16_t readyPort = 8523;
    constexpr std::uint16_t controlPort = 8526;
    constexpr std::size_t firstCore = 1;
    constexpr std::size_t firstEntry = 21;
    constexpr std::size_t firstExecutor = 101;
    constexpr std::size_t firstListener = 41;
    constexpr std::uint16_t peerPort = 7000;

    /// Returns the first three bytes of loopback addresses, derived from the process id, so that two cases do not share
    /// addresses.
    std::string uniquePrefix()
    {
        constexpr int perByte = 250;
        const auto pid = ::getpid();
        return "127." + std::to_string(3 + pid / perByte % perByte) + '.' + std::to_string(1 + pid % perByte) + '.';
    }

    constexpr const char* limitsOfRole = "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
                                         "[bounds]\nseed_lag_s = 3\nconnectivity_window_ms = 3000\nack_ms = 4000\n"
                                         "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nconfig_apply_ms = 2000\n"
                                         "hold_max_ms = 10000\nstop_ms = 900\ngang_ms = 3000\ncancel_ms = 3000\n"
                                         "visible_ms = 3000\nfinish_s = 14\nfar_x = 3\nlease_ms = 3000\n"
                                         "reclaim_ms = 3400\n";

} // namespace

site::site(std::string folder, bool usesLinks)
    : m_folder(std::move(folder))
    , m_prefix(uniquePrefix())
    , m_usesLinks(usesLinks)
    , m_cores(controlMachines)
    , m_entries(entryMachines)
{
}

std::string site::ipOf(bool isCore, std::size_t number) const
{
    return m_prefix + std::to_string((isCore ? firstCore : firstEntry) + number);
}

std::string site::executorIp(std::size_t number) const { return m_prefix + std::to_string(firstExecutor + number); }

endpoint site::front(std::size_t number) const { return { ipOf(false, number), frontPort }; }

endpoint site::control(std::size_t number) const { return { ipOf(true, number), controlPort }; }

endpoint site::peer(std::size_t number) const { return { ipOf(true, number), peerPort }; }

endpoint site::peerListener(std::size_t number) const
{
    return { m_usesLinks ? m_prefix + std::to_string(firstListener + number) : ipOf(true, number), peerPort };
}

std::string site::fileOf(bool isCore, std::size_t number, const char* suffix) const
{
    return m_folder + (isCore ? "/core-" : "/entry-") + std::to_string(number) + suffix;
}

void site::writeSettings(bool isCore, std::size_t number, bool isFirstStart) const
{
    const auto ip = ipOf(isCore, number);
    std::ofstream out(fileOf(isCore, number, ".toml"));
    out << "node_name = \"" << (isCore ? "core-" : "entry-") << number << "\"\nrole = \""
        << (isCore ? "control" : "entry") << "\"\nip = \"" << ip << "\"\nzone = \"zone-" << number % controlMachines
        << "\"\nregion = \"region\"\ninternal_port_range = [7000,7015]\nbootstrap = "
        << (isFirstStart ? "true" : "false") << "\nheartbeat_ms = 1500\nseeds = [";
    for (std::size_t i = 0; i < controlMachines; ++i)
        out << (i == 0 ? "\"" : ",\"") << toText(control(i)) << '"';
    out << "]\n";
    if (isCore)
        out << "data_dir = \"" << fileOf(true, number, "-disk") << "\"\n";
    if (isCore && m_usesLinks)
        out << "bind_ip = \"" << peerListener(number).ip << "\"\n";
    out << "[listen]\n";
    if (isCore)
        out << "control = \"" << toText(control(number)) << "\"\n";
    else
        out << "front = \"" << toText(front(number)) << "\"\nready = \"" << toText({ ip, readyPort }) << "\"\n";
    out << "[limits]\nmax_fds = 4096\n" << limitsOfRole;
}

void site::startAll()
{
    for (std::size_t i = 0; i < controlMachines; ++i) {
        std::filesystem::create_directories(fileOf(true, i, "-disk"));
        writeSettings(true, i, true);
        m_cores[i] = std::make_unique<process>(fileOf(true, i, ".toml"), fileOf(true, i, ".log"));
    }
    for (std::size_t i = 0; i < entryMachines; ++i) {
        writeSettings(false, i, true);
        m_entries[i] = std::make_unique<process>(fileOf(false, i, ".toml"), fileOf(false, i, ".log"));
    }
}

void site::startCore(std::size_t number)
{
    m_cores.at(number).reset();
    writeSettings(true, number, false);
    m_cores[number] = std::make_unique<process>(fileOf(true, number, ".toml"), fileOf(true, number, ".log"));
}

void site::startEntry(std::size_t number)
{
    m_entries.at(number).reset();
    writeSettings(false, number, false);
    m_entries[number] = std::make_unique<process>(fileOf(false, number, ".toml"), fileOf(false, number, ".log"));
}

int site::leader() const
{
    int leads = -1;
    std::int64_t newestTerm = -1;
    for (std::size_t i = 0; i < controlMachines; ++i) {
        std::ifstream log(fileOf(true, i, ".log"));
        std::string line;
        while (std::getline(log, line)) {
            if (line.find("event=leadership_taken") == std::string::npos)
                continue;
            const auto term = std::stoll(line.substr(line.find("term=") + 5));
            if (term > newestTerm) {
                newestTerm = term;
                leads = static_cast<int>(i);
            }
        }
    }
    return leads;
}

std::string site::endedProcesses()
{
    std::ostringstream ended;
    for (std::size_t i = 0; i < controlMachines; ++i) {
        if (m_cores[i] && m_cores[i]->hasEnded())
            ended << " core-" << i;
    }
    for (std::size_t i = 0; i < entryMachines; ++i) {
        if (m_entries[i] && m_entries[i]->hasEnded())
            ended << " entry-" << i;
    }
    return ended.str();
}

} // namespace review
