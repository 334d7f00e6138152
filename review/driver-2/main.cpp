#include "cases.h"

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>
#include <unistd.h>

/// Plays a case: `driver-2 NUMBER RECORD`. Without `TROUBLE=0` in the environment the disruption takes place.
int main(int argc, char** argv)
{
    using namespace review;
    if (argc != 3)
        return static_cast<int>(verdict::CouldNotRun);
    const std::string number = argv[1];
    const auto* const trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    const auto folder
        = std::filesystem::temp_directory_path() / ("review-" + number + '-' + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    auto result = verdict::CouldNotRun;
    try {
        if (number == "6")
            result = runCase6(folder.string(), argv[2], isTroubled);
        else if (number == "7")
            result = runCase7(folder.string(), argv[2], isTroubled);
        else if (number == "8")
            result = runCase8(folder.string(), argv[2], isTroubled);
        else if (number == "9")
            result = runCase9(folder.string(), argv[2], isTroubled);
    } catch (const std::exception& error) {
        std::cerr << "driver-2: " << error.what() << '\n';
    }
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder);
    return static_cast<int>(result);
}
