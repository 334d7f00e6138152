#include "apps/chervilport/client_options.h"
#include "apps/chervilport/subcommand.h"
#include "chervilport/core/chervilport_error.h"

#include <algorithm>
#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <string>

namespace {

using namespace chervilport;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

enum long_option : int {
    Json = 256,
    Token,
    Timeout,
    Version,
};

void printUsage(std::ostream& out)
{
    out << R"(Usage: chervilport [global options] GROUP COMMAND [arguments]

Submits and tracks jobs and operates instances of chervilport.

Global options:
  -i, --instance IP:PORT   instance to call; may be given several times (CHERVILPORT_INSTANCE or 127.0.0.1:7400)
      --token TEXT         bearer token (CHERVILPORT_TOKEN)
      --timeout-ms N       timeout of each call in milliseconds (10000)
      --json               print responses as JSON
  -h, --help               print this help; after a command, the help of the command
      --version            print the version

Commands:
)";
    for (const auto& command : allSubcommands())
        out << "  " << command.group << ' ' << command.name << ' ' << command.arguments << "\n      " << command.summary
            << '\n';
    out << "\nExit codes: 0 success";
    for (const auto& properties : allErrorProperties())
        out << ", " << properties.exitCode << ' ' << properties.name;
    out << ", 12 the job ended without success\n";
}

void applyEnvironment(client_options& options)
{
    if (const char* const token = std::getenv("CHERVILPORT_TOKEN"))
        options.token = token;
}

void applyDefaultInstance(client_options& options)
{
    if (!options.instances.empty())
        return;
    const char* const instance = std::getenv("CHERVILPORT_INSTANCE");
    options.instances.emplace_back(instance ? instance : "127.0.0.1:7400");
}

/// Reads the options before the subcommand. Returns an exit code, or -1 to continue at `optind`.
int readGlobalOptions(int argc, char** argv, client_options& options)
{
    static const option longOptions[] = {
        { "instance", required_argument, nullptr, 'i' },
        { "token", required_argument, nullptr, Token },
        { "timeout-ms", required_argument, nullptr, Timeout },
        { "json", no_argument, nullptr, Json },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, Version },
        {},
    };
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "+i:h", longOptions, nullptr)) != -1) {
        switch (chosen) {
        case 'i':
            options.instances.emplace_back(optarg);
            break;
        case Token:
            options.token = optarg;
            break;
        case Timeout:
            options.timeoutMs = std::max(1L, std::strtol(optarg, nullptr, 10));
            break;
        case Json:
            options.printsJson = true;
            break;
        case 'h':
            printUsage(std::cout);
            return exitOk;
        case Version:
            std::cout << "chervilport " << CHERVILPORT_VERSION << '\n';
            return exitOk;
        default:
            printUsage(std::cerr);
            return exitUsage;
        }
    }
    return -1;
}

int runSubcommand(const client_options& options, int argc, char** argv)
{
    const std::string group = optind < argc ? argv[optind] : "";
    const std::string name = optind + 1 < argc ? argv[optind + 1] : "";
    const auto commands = allSubcommands();
    const auto found = std::find_if(commands.begin(), commands.end(),
        [&](const subcommand& command) { return command.group == group && command.name == name; });
    if (found == commands.end()) {
        printUsage(std::cerr);
        return exitUsage;
    }
    char** const commandArgv = argv + optind + 1;
    const int commandArgc = argc - optind - 1;
    if (std::any_of(commandArgv + 1, commandArgv + commandArgc,
            [](const char* argument) { return std::string(argument) == "--help"; })) {
        printHelp(*found);
        return exitOk;
    }
    optind = 0;
    return found->run(options, commandArgc, commandArgv);
}

} // namespace

int main(int argc, char** argv)
{
    client_options options;
    applyEnvironment(options);
    try {
        if (const int code = readGlobalOptions(argc, argv, options); code >= 0)
            return code;
        applyDefaultInstance(options);
        return runSubcommand(options, argc, argv);
    } catch (const chervilport_error& error) {
        const auto& properties = errorPropertiesOf(error.kind());
        std::cerr << "chervilport: " << properties.name << ": " << error.what()
                  << " (outcome: " << toString(properties.outcome) << ")\n";
        return properties.exitCode;
    } catch (const std::exception& error) {
        std::cerr << "chervilport: " << error.what() << '\n';
        return exitFailure;
    }
}
