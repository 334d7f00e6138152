#include "benchmarks/requests/test_bed.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace chervilport {

namespace {

    const std::string instanceProgram = CHERVILPORT_BUILD_DIR "/apps/chervilportd/chervilportd";
    const std::string executorProgram = CHERVILPORT_BUILD_DIR "/standins/executor/standin-executor";

    constexpr std::chrono::milliseconds pollPeriod { 20 };
    constexpr std::chrono::seconds startTimeout { 20 };
    /// Three periods of the demand reports.
    constexpr std::chrono::milliseconds settleTime { 1'500 };

    void writeFile(const std::filesystem::path& file, const std::string& content) { std::ofstream(file) << content; }

    std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    // Returns ports below the ephemeral range: otherwise the system could assign the port of an instance that has not
    // yet started to an executor.
    std::vector<std::uint16_t> findFreePorts(asio::io_context& context, int count)
    {
        constexpr std::uint16_t firstPort = 20'000;
        constexpr std::uint16_t portRange = 10'000;
        static std::uint16_t nextPort = static_cast<std::uint16_t>(firstPort + getpid() % portRange);
        std::vector<std::uint16_t> ports;
        while (ports.size() < static_cast<std::size_t>(count)) {
            asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
            asio::error_code error;
            acceptor.bind({ asio::ip::make_address("127.0.0.1"), ++nextPort }, error);
            if (!error)
                ports.push_back(nextPort);
        }
        return ports;
    }

} // namespace

test_bed::test_bed(asio::io_context& context, http_client& client, int instances)
    : m_context(context)
    , m_client(client)
    , m_folder(std::filesystem::temp_directory_path() / ("chervilport-bench-" + std::to_string(getpid())))
{
    std::filesystem::create_directories(m_folder);
    writeFile(m_folder / "secret", "benchmark\n");
    const auto ports = findFreePorts(context, 2 * instances);
    std::ostringstream list;
    for (std::size_t i = 0; i < static_cast<std::size_t>(instances); ++i) {
        m_instances.push_back(addressOf(ports[2 * i]));
        list << "  { id = " << i + 1 << R"(, failure_domain = "local", http = ")" << m_instances.back()
             << R"(", peer = ")" << addressOf(ports[2 * i + 1])
             << R"(", disk = true, domain_voter = true, fleet_voter = )" << (i == 0 ? "true" : "false") << " },\n";
    }
    for (std::size_t i = 0; i < static_cast<std::size_t>(instances); ++i)
        startInstance(i, addressOf(ports[2 * i + 1]), list.str());
}

void test_bed::startInstance(std::size_t index, const std::string& peerAddress, const std::string& list)
{
    const auto name = "instance" + std::to_string(index + 1);
    const auto file = m_folder / (name + ".toml");
    std::ofstream out(file);
    out << "[instance]\nid = " << index + 1 << "\nfailure_domain = \"local\"\ndata_folder = " << m_folder / name
        << "\nstop_grace_ms = 200\n"
        << "[listen]\nhttp = \"" << m_instances[index] << "\"\npeer = \"" << peerAddress << "\"\n"
        << "[log]\nfile = " << m_folder / (name + ".log") << "\n"
        << "[cluster]\nsecret_file = " << m_folder / "secret"
        << "\ninstances = [\n"
        << list << "]\n";
    out.close();
    std::vector<std::string> arguments { "--config", file.string() };
    if (index == 0)
        arguments.insert(arguments.end(), { "--initialize", "cluster" });
    m_instanceProcesses.emplace_back(instanceProgram, arguments);
}

test_bed::~test_bed()
{
    // End the processes first: one that still writes would prevent the removal of the folder, and the next test bed
    // would read its old addresses.
    m_instanceProcesses.clear();
    m_executorProcesses.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void test_bed::addExecutors(int count, const std::vector<std::string>& arguments)
{
    const auto file = m_folder / ("executors" + std::to_string(m_executorProcesses.size()));
    std::vector<std::string> all { "--count", std::to_string(count), "--address-file", file.string() };
    for (const auto& instance : m_instances) {
        all.emplace_back("--instance");
        all.push_back(instance);
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    m_executorProcesses.emplace_back(executorProgram, all);
    const auto begin = std::chrono::steady_clock::now();
    while (!std::filesystem::exists(file)) {
        if (std::chrono::steady_clock::now() - begin > startTimeout)
            throw std::runtime_error("the executors wrote no address file within "
                + std::to_string(startTimeout.count()) + " s: " + file.string());
        runFor(pollPeriod);
    }
    std::ifstream in(file);
    std::copy(std::istream_iterator<std::string>(in), {}, std::back_inserter(m_executors));
}

bool test_bed::isServing(const std::string& instance)
{
    constexpr int okStatus = 200;
    http_client_request request;
    request.address = instance;
    request.request = { "POST", "/v1/requests/pairing/run", { { "Chervilport-Workspace", "rail" } }, "ready" };
    request.request.headers.push_back({ "Chervilport-Idempotent", "true" });
    bool hasEnded = false;
    bool isOk = false;
    m_client.send(std::move(request), [&](const http_result& result) {
        hasEnded = true;
        isOk = result.delivery == http_delivery::Complete && result.response.status == okStatus;
        m_lastResponse = result.detail + result.response.body;
    });
    while (!hasEnded)
        m_context.run_one();
    return isOk;
}

void test_bed::waitUntilReady()
{
    const auto begin = std::chrono::steady_clock::now();
    for (const auto& instance : m_instances) {
        while (!isServing(instance)) {
            if (std::chrono::steady_clock::now() - begin > startTimeout)
                throw std::runtime_error("instance " + instance + " returned no result within "
                    + std::to_string(startTimeout.count()) + " s, last response: " + m_lastResponse);
            runFor(pollPeriod);
        }
    }
    runFor(settleTime);
}

child_process& test_bed::instance(std::size_t index)
{
    return *std::next(m_instanceProcesses.begin(), static_cast<std::ptrdiff_t>(index));
}

double test_bed::residentMb() const
{
    double largest = 0;
    for (const auto& process : m_instanceProcesses)
        largest = std::max(largest, process.residentMb());
    return largest;
}

void test_bed::runFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    bool hasElapsed = false;
    timer.async_wait([&](const asio::error_code&) { hasElapsed = true; });
    while (!hasElapsed)
        m_context.run_one();
}

} // namespace chervilport
