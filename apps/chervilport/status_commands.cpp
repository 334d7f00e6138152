#include "apps/chervilport/status_commands.h"

#include "apps/chervilport/client_call.h"
#include "apps/chervilport/client_options.h"
#include "apps/chervilport/table_printer.h"
#include "chervilport/core/chervilport_error.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace chervilport {

int showStatus(const client_options& options, int argc, char**)
{
    if (argc != 1)
        throw chervilport_error(error_kind::InvalidRequest, "the command takes no arguments");
    const auto response = nlohmann::json::parse(sendCallOrThrow(options, { "GET", "/v1/status", {}, {} }).body);
    if (options.printsJson) {
        std::cout << response.dump() << '\n';
        return 0;
    }
    std::vector<std::vector<std::string>> rows;
    const auto members = response.flatten();
    for (const auto& [path, value] : members.items())
        rows.push_back({ path.substr(1), value.is_string() ? value.get<std::string>() : value.dump() });
    printTable(std::cout, rows);
    return 0;
}

} // namespace chervilport
