#include "review/standin/deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* program = "target/apps/chervilportd/chervilportd";
    constexpr std::uint16_t controlPort = 8'526;
    constexpr std::uint16_t frontPort = 8'521;
    constexpr std::uint16_t readyPort = 8'523;
    constexpr std::uint16_t internalPort = 7'000;
    constexpr std::uint16_t metricsPort = 9'464;
    constexpr std::size_t zoneCount = 3;
    constexpr std::size_t firstControl = 1;
    constexpr std::size_t firstExecutor = 21;
    constexpr std::size_t firstEntry = 101;
    constexpr std::array<const char*, zoneCount> zones { "port-louis", "curepipe", "mahebourg" };
    constexpr int ok = 200;

    std::string addressOf(const std::string& ip, std::uint16_t port) { return ip + ':' + std::to_string(port); }

    bool areFree(const std::string& prefix, std::size_t first, std::size_t count)
    {
        for (std::size_t i = first; i < first + count; ++i) {
            const auto ip = prefix + std::to_string(i);
            for (const auto port : { controlPort, frontPort, readyPort, internalPort, metricsPort }) {
                if (!isFree(ip, port))
                    return false;
            }
        }
        return true;
    }

    /// Returns the first three bytes of loopback addresses whose ports are free.
    std::string findFreePrefix(std::size_t entryCount)
    {
        constexpr int values = 250;
        for (int attempt = 0; attempt < values; ++attempt) {
            const auto number = ::getpid() + attempt * 17;
            auto prefix = "127." + std::to_string(2 + number / values % values) + '.'
                + std::to_string(1 + number % values) + '.';
            if (areFree(prefix, firstControl, zoneCount) && areFree(prefix, firstEntry, entryCount))
                return prefix;
        }
        throw std::runtime_error("no free loopback addresses");
    }

    std::string makeFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary folder");
        return pattern;
    }

} // namespace

deployment::deployment(record& output, std::size_t entryCount)
    : m_record(output)
    , m_folder(makeFolder())
    , m_prefix(findFreePrefix(entryCount))
{
    for (std::size_t i = 0; i < zoneCount; ++i)
        m_control.push_back({ "core-" + std::to_string(i + 1), "control", ip(firstControl + i), zones[i] });
    for (std::size_t i = 0; i < entryCount; ++i)
        m_entries.push_back({ "edge-" + std::to_string(i + 1), "entry", ip(firstEntry + i), zones[i % zoneCount] });
}

deployment::~deployment()
{
    end();
    m_executors.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
    else
        m_record.line("logs are in " + m_folder);
}

std::vector<std::string> deployment::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto& each : m_control)
        addresses.push_back(controlAddress(each));
    return addresses;
}

std::string deployment::controlAddress(const node& machine) { return addressOf(machine.ip, controlPort); }

std::string deployment::settingsOf(const node& machine, bool isFirstStart) const
{
    const bool isControl = machine.role == "control";
    std::string text = "node_name = \"" + machine.name + "\"\nrole = \"" + machine.role + "\"\nmachine_class = \""
        + (isControl ? "core" : "edge") + "\"\nserves = [\"" + (isControl ? "control" : "edge") + "\"]\nip = \""
        + machine.ip + "\"\nzone = \"" + machine.zone
        + "\"\nregion = \"maurice\"\ninternal_port_range = [7000,7015]\nseeds = [";
    for (std::size_t i = 0; i < m_control.size(); ++i)
        text += (i == 0 ? "\"" : ",\"") + addressOf(m_control[i].ip, controlPort) + '"';
    text += "]\nbootstrap = " + std::string(isFirstStart ? "true" : "false")
        + "\nloss_counts = " + (isControl ? "true" : "false")
        + "\ndiscovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 1500\n"
          "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\"]\n"
          "config_mode = \"highest\"\ncommands = \"direct_call\"\n";
    if (isControl)
        text += "data_dir = \"" + m_folder + "/data-" + machine.name + "\"\n";
    text += "[zones]\n";
    for (const auto* const zone : zones)
        text += std::string(zone) + " = \"maurice\"\n";
    text += "[listen]\n";
    if (isControl)
        text += "control = \"" + addressOf(machine.ip, controlPort) + "\"\n";
    else
        text += "front = \"" + addressOf(machine.ip, frontPort) + "\"\nready = \"" + addressOf(machine.ip, readyPort)
            + "\"\n";
    text += "[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128\n"
            "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nconnectivity_window_ms = 3000\nack_ms = 4000\n"
            "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
            "rollback_slack_ms = 250\nmax_stretch_ms = 5000\nstrict_revocation = true\nrevoke_ms = 5000\n"
            "recovery_s = "
        + std::to_string(recoverySeconds) + "\nhold_max_ms = " + std::to_string(holdMaxMs)
        + "\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = " + std::to_string(visibleMs)
        + "\nearly_ms = 250\nfinish_s = " + std::to_string(finishSeconds)
        + "\nstatus_s = 120\nfar_x = 3\nsave_s = 1\nrestore_ms = 600\nnotice_ms = 4500\nmove_s = 1.5\nupkeep_s = 2\n"
          "enforce_fencing = false\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\nharm_ms = 4000\n"
          "reclaim_ms = 2900\n";
    return text;
}

void deployment::launch(node& machine, bool isFirstStart)
{
    const auto settings = m_folder + '/' + machine.name + ".toml";
    std::ofstream(settings) << settingsOf(machine, isFirstStart);
    std::filesystem::create_directories(m_folder + "/data-" + machine.name);
    const auto log = m_folder + '/' + machine.name + ".log";
    const auto variable = "CHERVILPORT_CONFIG=" + settings;
    std::array<char*, 3> arguments { const_cast<char*>(program), const_cast<char*>("--platform"), nullptr };
    std::array<char*, 4> environment { const_cast<char*>(variable.c_str()), const_cast<char*>("PATH=/usr/bin:/bin"),
        const_cast<char*>("HOME=/tmp"), nullptr };
    const auto parent = ::getpid();
    machine.pid = ::fork();
    if (machine.pid < 0)
        throw std::runtime_error("cannot fork");
    if (machine.pid == 0) {
        // The process ends with the script, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (::getppid() == parent)
            ::execve(program, arguments.data(), environment.data());
        ::_exit(127);
    }
    m_record.line(machine.name + " is started");
}

void deployment::signal(const node& machine, int number)
{
    if (machine.pid > 0)
        ::kill(machine.pid, number);
    m_record.line(machine.name + " gets signal " + std::to_string(number));
}

void deployment::kill(node& machine)
{
    if (machine.pid <= 0)
        return;
    ::kill(machine.pid, SIGKILL);
    ::waitpid(machine.pid, nullptr, 0);
    machine.pid = -1;
    m_record.line(machine.name + " is killed");
}

void deployment::terminate(node& machine)
{
    signal(machine, SIGTERM);
    const bool hasEnded = waitUntil(
        std::chrono::seconds(graceSeconds), [&] { return ::waitpid(machine.pid, nullptr, WNOHANG) == machine.pid; });
    if (!hasEnded) {
        kill(machine);
        return;
    }
    machine.pid = -1;
    m_record.line(machine.name + " has ended");
}

void deployment::end()
{
    for (auto* const group : { &m_control, &m_entries }) {
        for (auto& each : *group)
            kill(each);
    }
}

void deployment::begin(const nlohmann::json& config, std::size_t executors, std::int64_t cpuOfExecutor)
{
    for (auto& each : m_control)
        launch(each, true);
    for (auto& each : m_entries)
        launch(each, true);
    configure(config);
    for (std::size_t i = 0; i < executors; ++i) {
        executor_options options;
        options.id = "i-" + std::to_string(i + 1);
        options.ip = ip(firstExecutor + i);
        options.service = serviceName;
        options.zone = zones[i % zoneCount];
        options.cpu = cpuOfExecutor;
        options.control = controlAddresses();
        m_executors.push_back(std::make_unique<executor>(options, m_record));
    }
    for (auto& each : m_executors) {
        const bool isKnown = waitUntil(15s, [&] {
            for (const auto& control : controlAddresses()) {
                if (each->sendHeartbeat(control) == ok)
                    return true;
            }
            return false;
        });
        if (!isKnown)
            throw std::runtime_error("an executor is not acknowledged");
        each->start();
    }
    const auto wanted = m_entries.size() - (m_entries.size() > fewEntries ? m_entries.size() / 5 : 0);
    if (!waitUntil(20s, [&] { return readyEntries().size() >= wanted; }))
        throw std::runtime_error("too few entry machines are ready");
    m_record.line(
        "ready entry machines: " + std::to_string(readyEntries().size()) + " of " + std::to_string(m_entries.size()));
}

std::vector<std::size_t> deployment::readyEntries() const
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (call(addressOf(m_entries[i].ip, readyPort), { "GET", "/v1/readiness", {}, {} }, 1s).status == ok)
            ready.push_back(i);
    }
    return ready;
}

void deployment::configure(const nlohmann::json& config)
{
    std::size_t attempt = 0;
    const bool isAcknowledged = waitUntil(20s, [&] {
        const auto node = addressOf(m_control[attempt++ % m_control.size()].ip, controlPort);
        return call(node, { "PUT", "/v1/config", {}, config.dump() }, 1s).status == ok;
    });
    if (!isAcknowledged)
        throw std::runtime_error("the configuration is not acknowledged");
    m_record.line("configuration " + std::to_string(config["version"].get<int>()) + " is acknowledged");
}

http_response deployment::client(
    std::size_t entry, const std::string& method, const std::string& target, const std::string& body)
{
    constexpr auto deadline = 3s;
    const header_fields headers { { "Host", hostName }, { "Api-Key", clientKey },
        { "X-Chervilport-Deadline-Ms", std::to_string(std::chrono::milliseconds(deadline).count()) } };
    auto response = call(
        addressOf(m_entries[entry % m_entries.size()].ip, frontPort), { method, target, headers, body }, deadline);
    m_record.line(method + ' ' + target + " -> " + std::to_string(response.status) + ' '
        + (response.body.size() < 100 ? response.body : std::string()));
    return response;
}

http_response deployment::clientUntilAnswered(
    const std::string& method, const std::string& target, const std::string& body)
{
    http_response response;
    std::size_t attempt = 0;
    waitUntil(15s, [&] {
        response = client(attempt++, method, target, body);
        return response.status == ok || response.status == 410 || response.status == 404;
    });
    return response;
}

node* deployment::leader()
{
    for (auto& each : m_control) {
        const auto response = call(addressOf(each.ip, metricsPort), { "GET", "/metrics", {}, {} }, 1s);
        if (response.body.find("chervilport_leader 1") != std::string::npos)
            return &each;
    }
    return nullptr;
}

std::vector<run_event> deployment::events() const
{
    std::vector<run_event> all;
    for (const auto& each : m_executors) {
        const auto own = each->events();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end(), [](const run_event& left, const run_event& right) { return left.at < right.at; });
    return all;
}

nlohmann::json makeConfig(int version)
{
    const nlohmann::json route { { "name", "r-ce7ejsm" }, { "host", hostName }, { "path_prefix", queuePrefix },
        { "type", "non_idempotent" }, { "timeout_ms", 3000 }, { "target_duration_ms", 1000 }, { "priority", 1 },
        { "service", serviceName }, { "max_attempts", 3 }, { "stretch", 3.0 }, { "public", false } };
    const nlohmann::json urgent { { "name", "r-zzyyjsg" }, { "host", hostName }, { "path_prefix", urgentPrefix },
        { "type", "non_idempotent" }, { "timeout_ms", 3000 }, { "target_duration_ms", 250 }, { "priority", 0 },
        { "service", serviceName }, { "max_attempts", 2 }, { "stretch", 1.5 }, { "public", false } };
    const nlohmann::json service { { "name", serviceName }, { "health_path", "/health" }, { "max_conns", 64 },
        { "protocol", "h1" }, { "tls", false }, { "admission_control", false }, { "standby", false } };
    const nlohmann::json tenant { { "name", "kaje80" }, { "api_keys", nlohmann::json::array({ clientKey }) },
        { "priority", 1 }, { "guaranteed_gpus", { { "gpu", 8 } } } };
    return { { "version", version }, { "routes", nlohmann::json::array({ route, urgent }) },
        { "services", nlohmann::json::array({ service }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", nlohmann::json::array({ tenant }) } };
}

bool isTroubleOff()
{
    const auto* const value = std::getenv("TROUBLE");
    return value != nullptr && std::string(value) == "0";
}

int runScenario(int argumentCount, char** arguments, int (*scenario)(record&))
{
    constexpr int couldNotRun = 2;
    if (argumentCount != 2)
        return couldNotRun;
    try {
        record output(arguments[1]);
        return scenario(output);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return couldNotRun;
    }
}

bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

} // namespace review
