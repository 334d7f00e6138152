#include "apps/chervilport/upstream_commands.h"

#include "apps/chervilport/argument_reader.h"
#include "apps/chervilport/client_call.h"
#include "apps/chervilport/client_options.h"
#include "apps/chervilport/table_printer.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    using nlohmann::json;

    void printUpstreams(const client_options& options, const std::string& body)
    {
        const auto response = json::parse(body);
        if (options.printsJson) {
            std::cout << response.dump() << '\n';
            return;
        }
        std::vector<std::vector<std::string>> rows { { "ADDRESS", "SERVICE", "DOMAIN", "STATE", "PRESENT", "EJECTED",
            "SLOTS", "SHARE", "IN USE" } };
        for (const auto& upstream : response.at("upstreams")) {
            std::vector<std::string> row;
            for (const char* key :
                { "address", "service", "failure_domain", "state", "present", "ejected", "slots", "share", "in_use" })
                row.push_back(formatCell(upstream.value(key, json())));
            rows.push_back(std::move(row));
        }
        printTable(std::cout, rows);
    }

} // namespace

int listUpstreams(const client_options& options, int argc, char**)
{
    requireNoArguments(argc);
    printUpstreams(options, sendCallOrThrow(options, { "GET", "/v1/upstreams", {}, {} }).body);
    return 0;
}

int drainUpstream(const client_options& options, int argc, char** argv)
{
    // The first argument is the name of the subcommand.
    if (argc != 2)
        failUsage("exactly one address is required");
    const auto target = "/v1/upstreams/" + std::string(argv[1]) + "/drain";
    printUpstreams(options, sendCallOrThrow(options, { "POST", target, {}, {} }).body);
    return 0;
}

} // namespace chervilport
