#include "tests/soak/soak_options.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <getopt.h>
#include <iostream>

namespace chervilport::soak {

namespace {

    constexpr const char* help
        = "soak [--seed N] [--runs N] [--seeds FILE] [--length SECONDS] [--settle SECONDS] [--executors N] [--program "
          "PATH] "
          "[--folder PATH]\n"
          "Runs the real programs on loopback addresses, injects faults drawn from the seed, and checks what clients,\n"
          "operators and executors see. Exits with 1 when an invariant is violated.\n";

    std::uint64_t readNumber(const char* text)
    {
        std::uint64_t value = 0;
        const auto* const end = text + std::strlen(text);
        if (std::from_chars(text, end, value).ptr != end) {
            std::cerr << "invalid unsigned integer: " << text << '\n' << help;
            std::exit(2);
        }
        return value;
    }

} // namespace

soak_options readSoakOptions(int argc, char** argv)
{
    const std::array<option, 10> known { { { "seed", required_argument, nullptr, 's' },
        { "seeds", required_argument, nullptr, 'S' }, { "runs", required_argument, nullptr, 'r' },
        { "length", required_argument, nullptr, 'l' }, { "settle", required_argument, nullptr, 't' },
        { "executors", required_argument, nullptr, 'e' }, { "program", required_argument, nullptr, 'p' },
        { "folder", required_argument, nullptr, 'f' }, { "help", no_argument, nullptr, 'h' }, {} } };
    soak_options options;
    options.program = CHERVILPORTD_PATH;
    for (;;) {
        const int next = ::getopt_long(argc, argv, "", known.data(), nullptr);
        if (next == -1)
            return options;
        if (next == 's')
            options.seed = readNumber(optarg);
        else if (next == 'S')
            options.seedFile = optarg;
        else if (next == 'r')
            options.runs = readNumber(optarg);
        else if (next == 'l')
            options.length = std::chrono::seconds(readNumber(optarg));
        else if (next == 't')
            options.drainTimeout = std::chrono::seconds(readNumber(optarg));
        else if (next == 'e')
            options.executors = readNumber(optarg);
        else if (next == 'p')
            options.program = optarg;
        else if (next == 'f')
            options.folder = optarg;
        else {
            std::cout << help;
            std::exit(next == 'h' ? 0 : 2);
        }
    }
}

} // namespace chervilport::soak
