#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <unistd.h>

namespace {

/// A case that takes longer could not run. The processes that it has started end with it.
constexpr unsigned maxSeconds = 100;

void giveUp(int) { ::_exit(static_cast<int>(review::verdict::CouldNotRun)); }

} // namespace

/// Plays a case: `driver-2 NUMBER RECORD FOLDER`. Without `TROUBLE=0` in the environment the disruption takes place.
int main(int argc, char** argv)
{
    using namespace review;
    if (argc != 4)
        return static_cast<int>(verdict::CouldNotRun);
    std::signal(SIGALRM, giveUp);
    ::alarm(maxSeconds);
    const std::string number = argv[1];
    const std::string folder = argv[3];
    const auto* const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    auto result = verdict::CouldNotRun;
    try {
        if (number == "6")
            result = runCase6(folder, argv[2], isTroubled);
        else if (number == "7")
            result = runCase7(folder, argv[2], isTroubled);
        else if (number == "8")
            result = runCase8(folder, argv[2], isTroubled);
        else if (number == "9")
            result = runCase9(folder, argv[2], isTroubled);
    } catch (const std::exception& error) {
        std::cerr << "driver-2: " << error.what() << '\n';
    }
    return static_cast<int>(result);
}
