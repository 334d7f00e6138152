#include "tests/session/session_cluster.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace chervilport {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::minutes waitTimeout { 2 };

    // Returns a loopback address derived from the process id, so that concurrent test processes use different
    // addresses.
    std::string uniqueLoopbackAddress()
    {
        constexpr int pidsPerByte = 254;
        const int number = static_cast<int>(::getpid());
        return "127." + std::to_string(1 + number / (pidsPerByte * pidsPerByte) % pidsPerByte) + "."
            + std::to_string(1 + number / pidsPerByte % pidsPerByte) + "." + std::to_string(1 + number % pidsPerByte);
    }

    // Returns a free port of the address. It stays free because no other process uses the address.
    std::uint16_t freePort(const std::string& ip)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socklen_t length = sizeof address;
        if (::bind(socket, reinterpret_cast<sockaddr*>(&address), length) != 0)
            throw std::runtime_error("cannot bind to " + ip);
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
        ::close(socket);
        return ntohs(address.sin_port);
    }

} // namespace

session_cluster::session_cluster(std::vector<session_instance> instances, const std::string& extraSettings)
    : m_instances(std::move(instances))
    , m_ip(uniqueLoopbackAddress())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "chervilport-session-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    std::set<std::uint16_t> used;
    const auto nextPort = [&] {
        for (;;) {
            const auto port = freePort(m_ip);
            if (used.insert(port).second)
                return port;
        }
    };
    for (const auto& instance : m_instances) {
        m_httpPorts[instance.id] = nextPort();
        m_peerPorts[instance.id] = nextPort();
    }
    std::ofstream(m_folder + "/secret") << "secret of the test\n";
    for (const auto& instance : m_instances)
        writeSettings(instance, extraSettings);
}

session_cluster::~session_cluster()
{
    m_standins.clear();
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

void session_cluster::writeSettings(const session_instance& instance, const std::string& extraSettings) const
{
    const auto id = std::to_string(instance.id);
    std::ofstream out(m_folder + "/" + id + ".toml");
    out << "[instance]\nid = " << id << "\nfailure_domain = \"" << instance.failureDomain
        << "\"\nstop_grace_ms = 300\n";
    if (instance.hasDisk)
        out << "data_folder = \"" << m_folder << "/data" << id << "\"\n";
    out << "[listen]\nhttp = \"" << address(instance.id) << "\"\npeer = \"" << m_ip << ":"
        << m_peerPorts.at(instance.id) << "\"\n";
    out << "[log]\nlevel = \"warning\"\nfile = \"" << m_folder << "/" << id << ".log\"\n" << extraSettings << '\n';
    if (m_instances.size() < 2)
        return;
    out << "[cluster]\nid = \"test\"\nsecret_file = \"" << m_folder << "/secret\"\ninstances = [\n";
    for (const auto& listed : m_instances) {
        out << "  { id = " << listed.id << ", failure_domain = \"" << listed.failureDomain << "\", http = \""
            << address(listed.id) << "\", peer = \"" << m_ip << ":" << m_peerPorts.at(listed.id)
            << "\", disk = " << (listed.hasDisk ? "true" : "false")
            << ", domain_voter = true, fleet_voter = " << (listed.isFleetVoter ? "true" : "false") << " },\n";
    }
    out << "]\n";
}

void session_cluster::start(std::uint64_t id, const std::string& initialize)
{
    std::vector<std::string> arguments { "--config", m_folder + "/" + std::to_string(id) + ".toml" };
    if (!initialize.empty())
        arguments.insert(arguments.end(), { "--initialize", initialize });
    m_processes.erase(id);
    m_processes.emplace(id, child_process(CHERVILPORTD_PATH, arguments));
}

void session_cluster::startAll()
{
    std::set<std::string> startedDomains;
    for (const auto& instance : m_instances) {
        const bool isFirst = startedDomains.empty();
        const bool isFirstOfDomain = startedDomains.insert(instance.failureDomain).second;
        start(instance.id, isFirst ? "cluster" : isFirstOfDomain ? "domain" : "");
    }
    for (const auto& instance : m_instances) {
        waitUntil("instance " + std::to_string(instance.id) + " is ready", [&] {
            return sendSessionCall({ "GET", address(instance.id), "/readyz", {}, {} }).status == 200;
        });
    }
}

void session_cluster::kill(std::uint64_t id) { m_processes.at(id).kill(); }

void session_cluster::terminate(std::uint64_t id) const { m_processes.at(id).signal(SIGTERM); }

int session_cluster::wait(std::uint64_t id) { return m_processes.at(id).wait(); }

std::string session_cluster::address(std::uint64_t id) const { return m_ip + ":" + std::to_string(m_httpPorts.at(id)); }

std::size_t session_cluster::startStandin(
    const std::string& path, const std::vector<std::uint64_t>& instances, const std::vector<std::string>& arguments)
{
    auto all = arguments;
    for (const auto id : instances)
        all.insert(all.end(), { "--instance", address(id) });
    m_standins.emplace_back(path, all);
    return m_standins.size() - 1;
}

nlohmann::json session_cluster::status(std::uint64_t id) const
{
    const auto response = sendSessionCall({ "GET", address(id), "/v1/status", {}, {} });
    return response.status == 200 ? response.json() : nlohmann::json::object();
}

std::uint64_t session_cluster::leader(std::uint64_t id) const
{
    const auto document = status(id);
    if (!document.contains("domain_log") || document["domain_log"]["leader"].is_null())
        return 0;
    return document["domain_log"]["leader"].get<std::uint64_t>();
}

void waitUntil(const std::string& description, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("timed out after 2 min while waiting until " + description);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace chervilport
