#include "chervilport/http/http_client.h"
#include "standins/executor/standin_executor.h"

#include <asio.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

/// Time between the announcement that the executors are leaving and the exit of the program.
constexpr std::chrono::seconds leaveDelay { 5 };

constexpr const char* usage = R"(Usage: standin-executor [options]

Simulates executors of the platform on free ports of the loopback address. The first SIGTERM announces that they are
leaving; the program exits 5 s later or at the second SIGTERM.

  -i, --instance IP:PORT   instance to announce to; may be given several times
  -n, --count N            number of executors (1)
  -d, --domain NAME        failure domain (local)
      --service NAME       service (pairing)
      --slots N            maximum number of concurrent requests of an executor (8)
      --connections N      connections that an executor announces (60)
      --service-us N       service time of a request in microseconds (5000)
      --fault KIND         die-before, die-after, cut, late, fail or refuse
      --fault-share X      share of requests with that fault, 0 to 1 (1)
      --faulty N           number of executors with that fault (all)
      --seed N             seed of the random choice of these requests (1)
      --address-file FILE  file to which the addresses are written, one per line
  -h, --help               print this help

Header fields of a request: Standin-Service-Us, Standin-Fault. GET /record returns the record of an executor.
)";

enum long_option : int {
    Service = 256,
    Slots,
    Connections,
    ServiceTime,
    Fault,
    FaultShare,
    Faulty,
    Seed,
    AddressFile,
};

struct options {
    chervilport::standin_executor_options executor;
    std::string addressFile;
    int count = 1;
    int faultyCount = -1;
};

bool readOption(int chosen, options& given)
{
    auto& executor = given.executor;
    switch (chosen) {
    case 'i':
        executor.instances.emplace_back(optarg);
        return true;
    case 'n':
        given.count = std::stoi(optarg);
        return true;
    case 'd':
        executor.failureDomain = optarg;
        return true;
    case Service:
        executor.service = optarg;
        return true;
    case Slots:
        executor.slots = std::stoi(optarg);
        return true;
    case Connections:
        executor.connections = std::stoi(optarg);
        return true;
    case ServiceTime:
        executor.serviceTime = std::chrono::microseconds(std::stoll(optarg));
        return true;
    case Fault:
        executor.fault = chervilport::executorFaultFromName(optarg);
        return true;
    case FaultShare:
        executor.faultShare = std::stod(optarg);
        return true;
    case Faulty:
        given.faultyCount = std::stoi(optarg);
        return true;
    case Seed:
        executor.seed = std::stoull(optarg);
        return true;
    case AddressFile:
        given.addressFile = optarg;
        return true;
    default:
        return false;
    }
}

bool readOptions(int argc, char** argv, options& given)
{
    static const option longOptions[] = {
        { "instance", required_argument, nullptr, 'i' },
        { "count", required_argument, nullptr, 'n' },
        { "domain", required_argument, nullptr, 'd' },
        { "service", required_argument, nullptr, Service },
        { "slots", required_argument, nullptr, Slots },
        { "connections", required_argument, nullptr, Connections },
        { "service-us", required_argument, nullptr, ServiceTime },
        { "fault", required_argument, nullptr, Fault },
        { "fault-share", required_argument, nullptr, FaultShare },
        { "faulty", required_argument, nullptr, Faulty },
        { "seed", required_argument, nullptr, Seed },
        { "address-file", required_argument, nullptr, AddressFile },
        { "help", no_argument, nullptr, 'h' },
        {},
    };
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "i:n:d:h", longOptions, nullptr)) != -1) {
        if (!readOption(chosen, given))
            return false;
    }
    return optind == argc;
}

using executors = std::vector<std::shared_ptr<chervilport::standin_executor>>;

void writeAddresses(const std::string& file, const executors& all)
{
    // Readers poll for the file, so it must appear complete: write a temporary file and rename it.
    const auto temporary = file + ".tmp";
    {
        std::ofstream out(temporary);
        for (const auto& executor : all)
            out << executor->address() << '\n';
    }
    std::filesystem::rename(temporary, file);
}

// Announces at the first signal that the executors are leaving, and stops the context after a delay or at the second
// signal.
void waitForSignal(
    asio::io_context& context, asio::signal_set& signals, asio::steady_timer& exitTimer, const executors& all)
{
    signals.async_wait([&](const std::error_code&, int) {
        for (const auto& executor : all)
            executor->announceLeaving();
        exitTimer.expires_after(leaveDelay);
        exitTimer.async_wait([&](const std::error_code&) { context.stop(); });
        signals.async_wait([&](const std::error_code&, int) { context.stop(); });
    });
}

void run(const options& given)
{
    // Start the executors.
    asio::io_context context(1);
    chervilport::http_client client(context);
    executors all;
    for (int i = 0; i < given.count; ++i) {
        auto executor = given.executor;
        executor.seed += static_cast<std::uint64_t>(i);
        if (given.faultyCount >= 0 && i >= given.faultyCount)
            executor.fault = chervilport::executor_fault::None;
        all.push_back(std::make_shared<chervilport::standin_executor>(context, client, executor));
        all.back()->start();
    }

    // Serve until a signal ends the program.
    if (!given.addressFile.empty())
        writeAddresses(given.addressFile, all);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    asio::steady_timer exitTimer(context);
    waitForSignal(context, signals, exitTimer, all);
    context.run();
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    try {
        if (!readOptions(argc, argv, given)) {
            std::cerr << usage;
            return 2;
        }
        run(given);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "standin-executor: " << error.what() << '\n';
        return 1;
    }
}
