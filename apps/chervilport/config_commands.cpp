#include "apps/chervilport/config_commands.h"

#include "apps/chervilport/argument_reader.h"
#include "apps/chervilport/client_call.h"
#include "apps/chervilport/client_options.h"
#include "apps/chervilport/table_printer.h"
#include "chervilport/core/chervilport_error.h"

#include <array>
#include <ctime>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace chervilport {

namespace {

    using nlohmann::json;

    enum config_option : int {
        Trial = 256,
        ExpectedVersion,
        Key,
        Operator,
        Hash,
    };

    const option changeOptions[] = {
        { "expected-version", required_argument, nullptr, ExpectedVersion },
        { "key", required_argument, nullptr, Key },
        { "operator", required_argument, nullptr, Operator },
        { "hash", required_argument, nullptr, Hash },
        {},
    };

    // Options of a command that changes the configuration.
    struct config_change {
        std::optional<std::uint64_t> expectedVersion;
        std::string key;
        std::string operatorName;
        std::string hash;
    };

    // Returns 128 random bits as 32 hexadecimal digits.
    std::string generateKey()
    {
        constexpr int words = 4;
        constexpr int digitsPerWord = 8;
        constexpr unsigned bitsPerDigit = 4;
        constexpr std::string_view digits = "0123456789abcdef";
        std::random_device source;
        std::string key;
        for (int i = 0; i < words; ++i) {
            auto word = source();
            for (int j = 0; j < digitsPerWord; ++j) {
                key += digits[word & 0xfU];
                word >>= bitsPerDigit;
            }
        }
        return key;
    }

    config_change readChange(int argc, char** argv, bool takesHash)
    {
        config_change change;
        int chosen = 0;
        while ((chosen = getopt_long(argc, argv, "", changeOptions, nullptr)) != -1) {
            if (chosen == ExpectedVersion)
                change.expectedVersion = readCount("--expected-version", optarg);
            else if (chosen == Key)
                change.key = optarg;
            else if (chosen == Operator)
                change.operatorName = optarg;
            else if (chosen == Hash && takesHash)
                change.hash = optarg;
            else
                failUsage("invalid option");
        }
        if (!change.expectedVersion)
            failUsage("--expected-version is required");
        if (takesHash && change.hash.empty())
            failUsage("--hash is required");
        return change;
    }

    // Prints the details of an error response to a change, which the message does not contain.
    void printErrorDetails(const json& response)
    {
        // A reused key is refused before the version in trial is read, so the version of that response is not valid.
        if (response.contains("trial_version") && response.value("error", "") != "key_reused")
            std::cerr << "version in trial: " << response["trial_version"] << ", hash "
                      << formatCell(response.value("trial_hash", json())) << '\n';
        std::vector<std::vector<std::string>> rows;
        for (const auto& problem : response.value("problems", json::array())) {
            rows.push_back({ "line " + formatCell(problem.at("line")), formatCell(problem.at("key")),
                "allowed: " + formatCell(problem.at("allowed")) });
        }
        for (const auto& difference : response.value("differences", json::array())) {
            rows.push_back({ formatCell(difference.at("key")), "in trial: " + formatCell(difference.at("before")),
                "submitted: " + formatCell(difference.at("after")) });
        }
        printTable(std::cerr, rows);
    }

    // Sends a change. Prints a generated key before the call, so that the operator has it when the response is lost.
    int sendChange(const client_options& options, config_change& change, client_call call)
    {
        if (change.key.empty()) {
            change.key = generateKey();
            std::cerr << "operation key: " << change.key << " (retry with --key if the response is lost)\n";
        }
        call.headers.push_back("Chervilport-Key: " + change.key);
        if (!change.operatorName.empty())
            call.headers.push_back("Chervilport-Operator: " + change.operatorName);
        const auto response = sendCall(options, call);
        const auto body = json::parse(response.body, nullptr, false);
        if (isErrorResponse(response)) {
            if (options.printsJson)
                std::cout << response.body << '\n';
            else if (body.is_object())
                printErrorDetails(body);
            throwErrorResponse(response);
        }
        if (options.printsJson) {
            std::cout << response.body << '\n';
            return 0;
        }
        const std::vector<std::vector<std::string>> rows {
            { "operation key", change.key },
            { "version in trial", formatCell(body.value("trial_version", json())) },
            { "hash in trial", formatCell(body.value("trial_hash", json())) },
            { "version in production", formatCell(body.value("production_version", json())) },
        };
        printTable(std::cout, rows);
        return 0;
    }

    void requireNoOperands(int argc)
    {
        if (optind != argc)
            failUsage("the command takes only options");
    }

    std::string formatTime(std::int64_t unixMs)
    {
        constexpr std::int64_t millisecondsPerSecond = 1'000;
        const auto seconds = static_cast<std::time_t>(unixMs / millisecondsPerSecond);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, sizeof "0000-00-00T00:00:00Z"> text {};
        std::strftime(text.data(), text.size(), "%FT%TZ", &parts);
        return text.data();
    }

} // namespace

int showConfig(const client_options& options, int argc, char** argv)
{
    static const option longOptions[] = { { "trial", no_argument, nullptr, Trial }, {} };
    std::string which = "production";
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (chosen != Trial)
            failUsage("invalid option");
        which = "trial";
    }
    requireNoOperands(argc);
    const auto response = json::parse(sendCallOrThrow(options, { "GET", "/v1/config", {}, {} }).body);
    const auto version = response.value(which, json());
    if (!version.is_object())
        throw chervilport_error(error_kind::NotFound, "no document is in " + which);
    if (options.printsJson)
        std::cout << version.dump() << '\n';
    else
        std::cout << version.value("document", "");
    return 0;
}

int putConfig(const client_options& options, int argc, char** argv)
{
    auto change = readChange(argc, argv, false);
    if (optind + 1 != argc)
        failUsage("exactly one file is required");
    client_call call { "PUT", "/v1/config/trial", {}, readDocument(argv[optind]) };
    call.headers.push_back("Chervilport-Expected-Version: " + std::to_string(*change.expectedVersion));
    return sendChange(options, change, std::move(call));
}

int proveConfig(const client_options& options, int argc, char** argv)
{
    auto change = readChange(argc, argv, false);
    requireNoOperands(argc);
    const json body { { "version", *change.expectedVersion } };
    return sendChange(options, change, { "POST", "/v1/config/prove", {}, body.dump() });
}

int promoteConfig(const client_options& options, int argc, char** argv)
{
    auto change = readChange(argc, argv, true);
    requireNoOperands(argc);
    const json body { { "version", *change.expectedVersion }, { "hash", change.hash } };
    return sendChange(options, change, { "POST", "/v1/config/promote", {}, body.dump() });
}

int listConfigHistory(const client_options& options, int argc, char**)
{
    requireNoArguments(argc);
    const auto response = json::parse(sendCallOrThrow(options, { "GET", "/v1/config/history", {}, {} }).body);
    if (options.printsJson) {
        std::cout << response.dump() << '\n';
        return 0;
    }
    std::vector<std::vector<std::string>> rows { { "TIME", "STEP", "VERSION", "HASH", "OPERATOR", "CHANGED KEYS" } };
    for (const auto& change : response.at("history")) {
        rows.push_back({ formatTime(change.at("unix_ms").get<std::int64_t>()), formatCell(change.at("step")),
            formatCell(change.at("version")), formatCell(change.at("hash")), formatCell(change.at("operator")),
            std::to_string(change.at("differences").size()) });
    }
    printTable(std::cout, rows);
    return 0;
}

int showConfigStatus(const client_options& options, int argc, char**)
{
    requireNoArguments(argc);
    auto response = json::parse(sendCallOrThrow(options, { "GET", "/v1/config", {}, {} }).body);
    // The text of the documents is printed by `config show` only.
    for (const char* const which : { "trial", "production" }) {
        if (response.at(which).is_object())
            response[which].erase("document");
    }
    if (options.printsJson) {
        std::cout << response.dump() << '\n';
        return 0;
    }
    std::vector<std::vector<std::string>> rows { { "PLACE", "VERSION", "HASH", "PROVEN" } };
    for (const char* const which : { "trial", "production" }) {
        const auto version = response.at(which).is_object() ? response[which] : json::object();
        const bool isTrial = which == std::string_view("trial");
        rows.push_back({ which, formatCell(version.value("version", json())), formatCell(version.value("hash", json())),
            isTrial ? formatCell(response.at("trial_proven")) : "-" });
    }
    printTable(std::cout, rows);
    return 0;
}

} // namespace chervilport
