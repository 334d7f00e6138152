#include "chervilport/core/chervilport_error.h"
#include "chervilport/instance/instance.h"
#include "chervilport/logging/log.h"
#include "chervilport/settings/settings_reader.h"
#include "platform/process.h"

#include <cstdio>
#include <exception>
#include <getopt.h>
#include <iostream>
#include <string>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char* usage = R"(Usage: chervilportd [--config FILE] [--initialize SCOPE] [--check-config]
       chervilportd --platform

Runs one instance of chervilport. Without a settings file it runs as a single instance on 127.0.0.1:7400 and keeps no
state on disk.

  -c, --config FILE    read settings from a TOML file
      --initialize SCOPE
                       bootstrap a replication group; ignored if the data folder already contains its log. "cluster"
                       at the first start of one instance of the cluster, "domain" at the first start of one instance
                       of each further failure domain
      --check-config   check the settings, print every error, and exit
      --platform       run on the users' platform with the platform's settings file; see docs/platform-note.md
  -h, --help           print this help
      --version        print the version

Exit codes: 0 graceful shutdown or valid settings, 1 the instance could not start or failed, 2 invalid usage or
settings.
)";

struct options {
    std::string configFile;
    bool isCheckOnly = false;
    bool initializeDomain = false;
    bool initializeFleet = false;
    bool usesPlatform = false;
};

enum long_option : int {
    CheckConfig = 256,
    Initialize,
    Platform,
    Version,
};

/// Reads the options of the command line. Returns an exit code, or -1 to continue.
int readOptions(int argc, char** argv, options& given)
{
    static const option longOptions[] = {
        { "config", required_argument, nullptr, 'c' },
        { "check-config", no_argument, nullptr, CheckConfig },
        { "initialize", required_argument, nullptr, Initialize },
        { "platform", no_argument, nullptr, Platform },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, Version },
        {},
    };
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "c:h", longOptions, nullptr)) != -1) {
        switch (chosen) {
        case 'c':
            given.configFile = optarg;
            break;
        case CheckConfig:
            given.isCheckOnly = true;
            break;
        case Initialize:
            given.initializeFleet = std::string(optarg) == "cluster";
            given.initializeDomain = given.initializeFleet || std::string(optarg) == "domain";
            if (!given.initializeDomain) {
                std::cerr << "--initialize must be cluster or domain, got " << optarg << '\n';
                return exitUsage;
            }
            break;
        case Platform:
            given.usesPlatform = true;
            break;
        case 'h':
            std::cout << usage;
            return exitOk;
        case Version:
            std::cout << "chervilportd " << CHERVILPORT_VERSION << '\n';
            return exitOk;
        default:
            std::cerr << usage;
            return exitUsage;
        }
    }
    if (optind != argc) {
        std::cerr << "unexpected argument: " << argv[optind] << '\n' << usage;
        return exitUsage;
    }
    return -1;
}

int run(const options& given)
{
    using namespace chervilport;

    if (given.usesPlatform)
        return platform::runProcess();

    // Read the settings and report all errors before the instance starts.
    settings_result settings;
    if (!given.configFile.empty())
        settings = readSettingsFile(given.configFile);
    for (const auto& error : settings.errors)
        std::cerr << describe(error) << '\n';
    if (!settings.errors.empty())
        return exitUsage;
    if (given.isCheckOnly) {
        std::cout << "settings are valid\n";
        return exitOk;
    }

    // Run the instance until its graceful shutdown.
    settings.values.initializeDomain = given.initializeDomain;
    settings.values.initializeFleet = given.initializeFleet;
    setUpLog(settings.values.logLevel, settings.values.logFile);
    instance served(settings.values);
    served.run();
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    options given;
    if (const int code = readOptions(argc, argv, given); code >= 0)
        return code;
    try {
        return run(given);
    } catch (const std::exception& error) {
        std::cerr << "chervilportd: " << error.what() << '\n';
        return exitFailure;
    }
}
