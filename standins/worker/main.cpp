#include "chervilport/http/http_client.h"
#include "standins/worker/standin_worker.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <getopt.h>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

constexpr const char* usage = R"(Usage: standin-worker --instance IP:PORT [options]

Simulates workers of the platform on free ports of the loopback address.

  -i, --instance IP:PORT   instance to announce to; may be given several times
  -n, --count N            number of workers (1)
  -d, --domain NAME        failure domain (local)
      --per-rack N         workers in a rack (8)
      --accelerators N     accelerators of a worker (8)
      --cores N            cores of a worker (60)
      --memory-mb N        memory of a worker in MiB (262144)
      --fail               every task fails
  -h, --help               print this help
)";

enum long_option : int {
    PerRack = 256,
    Accelerators,
    Cores,
    MemoryMb,
    Fail,
};

struct options {
    chervilport::standin_worker_options worker;
    int count = 1;
    int perRack = 8;
};

bool readOptions(int argc, char** argv, options& given)
{
    static const option longOptions[] = {
        { "instance", required_argument, nullptr, 'i' },
        { "count", required_argument, nullptr, 'n' },
        { "domain", required_argument, nullptr, 'd' },
        { "per-rack", required_argument, nullptr, PerRack },
        { "accelerators", required_argument, nullptr, Accelerators },
        { "cores", required_argument, nullptr, Cores },
        { "memory-mb", required_argument, nullptr, MemoryMb },
        { "fail", no_argument, nullptr, Fail },
        { "help", no_argument, nullptr, 'h' },
        {},
    };
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "i:n:d:h", longOptions, nullptr)) != -1) {
        switch (chosen) {
        case 'i':
            given.worker.instances.emplace_back(optarg);
            break;
        case 'n':
            given.count = std::stoi(optarg);
            break;
        case 'd':
            given.worker.failureDomain = optarg;
            break;
        case PerRack:
            given.perRack = std::stoi(optarg);
            break;
        case Accelerators:
            given.worker.accelerators = std::stoi(optarg);
            break;
        case Cores:
            given.worker.cores = std::stoi(optarg);
            break;
        case MemoryMb:
            given.worker.memoryMb = std::stoll(optarg);
            break;
        case Fail:
            given.worker.failsAllTasks = true;
            break;
        default:
            return false;
        }
    }
    return !given.worker.instances.empty() && given.perRack > 0;
}

void run(const options& given)
{
    // Start the workers, `perRack` of them in each rack.
    asio::io_context context(1);
    chervilport::http_client client(context);
    std::vector<std::shared_ptr<chervilport::standin_worker>> workers;
    for (int i = 0; i < given.count; ++i) {
        auto worker = given.worker;
        worker.rackPosition = i / given.perRack;
        worker.rack = "rack-" + std::to_string(worker.rackPosition);
        workers.push_back(std::make_shared<chervilport::standin_worker>(context, client, worker));
        workers.back()->start();
    }

    // Serve until a signal ends the program.
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code&, int) { context.stop(); });
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
        std::cerr << "standin-worker: " << error.what() << '\n';
        return 1;
    }
}
