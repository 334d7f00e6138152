#include "apps/chervilport/explain_commands.h"

#include "apps/chervilport/argument_reader.h"
#include "apps/chervilport/client_options.h"
#include "apps/chervilport/table_printer.h"
#include "chervilport/explain/job_timeline.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace chervilport {

namespace {

    void readLines(std::istream& in, const std::string& file, std::vector<explain::log_line>& lines)
    {
        for (std::string text; std::getline(in, text);) {
            if (auto line = explain::parseLogLine(text, file))
                lines.push_back(std::move(*line));
        }
    }

    std::vector<explain::log_line> readLogs(std::span<char* const> files)
    {
        std::vector<explain::log_line> lines;
        if (files.empty())
            readLines(std::cin, "-", lines);
        for (const std::string path : files) {
            std::ifstream file(path);
            if (!file)
                failUsage("cannot read log file " + path);
            readLines(file, std::filesystem::path(path).stem().string(), lines);
        }
        return lines;
    }

    void printJson(const explain::job_timeline& timeline)
    {
        nlohmann::ordered_json body { { "job", timeline.job }, { "conclusion", timeline.conclusion },
            { "missing", timeline.missing }, { "entries", nlohmann::json::array() } };
        for (const auto& each : timeline.entries)
            body["entries"].push_back({ { "time", each.time }, { "instance", each.instance }, { "event", each.event },
                { "lines", each.lines }, { "of_job", each.isOfJob }, { "detail", each.detail } });
        std::cout << body.dump(2) << '\n';
    }

    void printText(const explain::job_timeline& timeline)
    {
        std::vector<std::vector<std::string>> rows { { "time", "instance", "event", "lines", "detail" } };
        for (const auto& each : timeline.entries)
            rows.push_back({ each.time, each.instance, each.event, std::to_string(each.lines), each.detail });
        printTable(std::cout, rows);
        std::cout << "\nJob " << timeline.job << ": " << timeline.conclusion << '\n';
        for (const auto& each : timeline.missing)
            std::cout << "Missing: " << each << '\n';
    }

} // namespace

int explainJob(const client_options& options, int argc, char** argv)
{
    if (argc < 2)
        failUsage("a job id is required");
    const auto lines = readLogs(std::span<char* const>(argv + 2, static_cast<std::size_t>(argc - 2)));
    const auto timeline = explain::buildTimeline(lines, argv[1]);
    if (options.printsJson)
        printJson(timeline);
    else
        printText(timeline);
    return 0;
}

} // namespace chervilport
