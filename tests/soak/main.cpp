#include "tests/soak/soak_run.h"

#include <csignal>
#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto options = chervilport::soak::readSoakOptions(argc, argv);
    std::size_t broken = 0;
    try {
        for (std::size_t i = 0; i < options.runs; ++i) {
            const auto violations = chervilport::soak::playSoak(options, options.seed + i);
            std::cout << "seed " << options.seed + i << ": " << violations.size() << " broken promises\n";
            broken += violations.empty() ? 0 : 1;
        }
    } catch (const std::exception& error) {
        std::cerr << "the soak failed: " << error.what() << '\n';
        return 2;
    }
    std::cout << options.runs - broken << " passed, " << broken << " failed\n";
    return broken == 0 ? 0 : 1;
}
