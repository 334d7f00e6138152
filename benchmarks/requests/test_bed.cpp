#include "benchmarks/requests/test_bed.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <unistd.h>

namespace chervilport {

namespace {

    const std::string hostProgram = CHERVILPORT_BUILD_DIR "/benchmarks/requests/bench_requests_host";
    const std::string executorProgram = CHERVILPORT_BUILD_DIR "/standins/executor/standin-executor";

    constexpr std::chrono::milliseconds pollPeriod { 20 };
    constexpr std::chrono::seconds startTimeout { 20 };
    /// Three periods of the reports on demand.
    constexpr std::chrono::milliseconds settleTime { 1'500 };

    std::vector<std::uint16_t> findFreePorts(asio::io_context& context, int count)
    {
        std::vector<asio::ip::tcp::acceptor> acceptors;
        std::vector<std::uint16_t> ports;
        for (int i = 0; i < count; ++i) {
            acceptors.emplace_back(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            ports.push_back(acceptors.back().local_endpoint().port());
        }
        return ports;
    }

} // namespace

test_bed::test_bed(asio::io_context& context, http_client& client, int hosts)
    : m_context(context)
    , m_client(client)
    , m_folder(std::filesystem::temp_directory_path() / ("chervilport-bench-" + std::to_string(getpid())))
{
    std::filesystem::create_directories(m_folder);
    const auto ports = findFreePorts(context, hosts);
    for (const auto port : ports)
        m_hosts.push_back("127.0.0.1:" + std::to_string(port));
    for (std::size_t i = 0; i < ports.size(); ++i) {
        std::vector<std::string> arguments { "host" + std::to_string(i + 1), std::to_string(ports[i]) };
        arguments.insert(arguments.end(), m_hosts.begin(), m_hosts.end());
        m_hostProcesses.emplace_back(hostProgram, arguments);
    }
}

test_bed::~test_bed()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void test_bed::addExecutors(int count, const std::vector<std::string>& arguments)
{
    const auto file = m_folder / ("executors" + std::to_string(m_executorProcesses.size()));
    std::vector<std::string> all { "--count", std::to_string(count), "--address-file", file.string() };
    for (const auto& host : m_hosts) {
        all.emplace_back("--instance");
        all.push_back(host);
    }
    all.insert(all.end(), arguments.begin(), arguments.end());
    m_executorProcesses.emplace_back(executorProgram, all);
    const auto begin = std::chrono::steady_clock::now();
    while (!std::filesystem::exists(file)) {
        if (std::chrono::steady_clock::now() - begin > startTimeout)
            throw std::runtime_error("the executors did not start");
        pass(pollPeriod);
    }
    std::ifstream in(file);
    std::copy(std::istream_iterator<std::string>(in), {}, std::back_inserter(m_executors));
}

bool test_bed::answers(const std::string& host)
{
    constexpr int okStatus = 200;
    http_client_request request;
    request.address = host;
    request.request = { "POST", "/v1/requests/pairing/run", { { "Chervilport-Workspace", "w" } }, "ready" };
    request.request.headers.push_back({ "Chervilport-Idempotent", "true" });
    bool hasEnded = false;
    bool isOk = false;
    m_client.send(std::move(request), [&](const http_result& result) {
        hasEnded = true;
        isOk = result.delivery == http_delivery::Complete && result.response.status == okStatus;
    });
    while (!hasEnded)
        m_context.run_one();
    return isOk;
}

void test_bed::waitUntilReady()
{
    const auto begin = std::chrono::steady_clock::now();
    for (const auto& host : m_hosts) {
        while (!answers(host)) {
            if (std::chrono::steady_clock::now() - begin > startTimeout)
                throw std::runtime_error("the host " + host + " does not serve");
            pass(pollPeriod);
        }
    }
    pass(settleTime);
}

child_process& test_bed::host(std::size_t index)
{
    return *std::next(m_hostProcesses.begin(), static_cast<std::ptrdiff_t>(index));
}

double test_bed::residentMb() const
{
    double largest = 0;
    for (const auto& process : m_hostProcesses)
        largest = std::max(largest, process.residentMb());
    return largest;
}

void test_bed::pass(std::chrono::milliseconds time)
{
    asio::steady_timer timer(m_context, time);
    bool isOver = false;
    timer.async_wait([&](const asio::error_code&) { isOver = true; });
    while (!isOver)
        m_context.run_one();
}

} // namespace chervilport
