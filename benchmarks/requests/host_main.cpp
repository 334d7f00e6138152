#include "benchmarks/requests/bench_host.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

// Usage: bench_requests_host NAME PORT HOST...
int main(int argc, char** argv)
{
    constexpr int firstHost = 3;
    if (argc <= firstHost)
        return 2;
    try {
        chervilport::bench_host_options options { argv[1], static_cast<std::uint16_t>(std::stoi(argv[2])), {} };
        for (int i = firstHost; i < argc; ++i)
            options.hosts.emplace_back(argv[i]);
        asio::io_context context(1);
        chervilport::bench_host host(context, options);
        host.start();
        asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](const asio::error_code&, int) { host.stop(); });
        context.run();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "bench_requests_host: " << error.what() << '\n';
        return 1;
    }
}
