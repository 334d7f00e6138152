#include "apps/chervilport/job_commands.h"

#include "apps/chervilport/argument_reader.h"
#include "apps/chervilport/client_call.h"
#include "apps/chervilport/client_options.h"
#include "apps/chervilport/table_printer.h"
#include "chervilport/core/chervilport_error.h"

#include <chrono>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace chervilport {

namespace {

    using nlohmann::json;

    constexpr int exitOk = 0;
    // The job ended in a state other than succeeded.
    constexpr int exitJobFailed = 12;
    constexpr std::chrono::milliseconds pollInterval { 200 };

    std::int64_t readNumber(const char* option, const char* text)
    {
        char* end = nullptr;
        const auto number = std::strtoll(text, &end, 10);
        if (end == text || *end)
            failUsage(std::string(option) + " must be an integer, got \"" + text + "\"");
        return number;
    }

    bool isFinal(const std::string& state)
    {
        static const std::set<std::string, std::less<>> finalStates { "succeeded", "failed", "cancelled", "expired",
            "infeasible" };
        return finalStates.contains(state);
    }

    void printJob(const client_options& options, const json& job)
    {
        if (options.printsJson) {
            std::cout << job.dump() << '\n';
            return;
        }
        std::vector<std::vector<std::string>> rows;
        for (const char* key : { "id", "workspace", "team", "kind", "class", "tasks", "placement", "state", "attempt",
                 "reason", "workers" })
            rows.push_back({ key, formatCell(job.value(key, json())) });
        printTable(std::cout, rows);
    }

    json fetchJob(const client_options& options, const std::string& id)
    {
        return json::parse(sendCallOrThrow(options, { "GET", "/v1/jobs/" + escapeQuery(id), {}, {} }).body);
    }

    // Polls the job until it has ended and returns it. `options.timeoutMs` bounds each call, not the wait.
    json waitForEnd(const client_options& options, const std::string& id)
    {
        for (;;) {
            auto job = fetchJob(options, id);
            if (isFinal(job.value("state", "")))
                return job;
            std::this_thread::sleep_for(pollInterval);
        }
    }

    int exitCodeOf(const json& job)
    {
        const auto state = job.value("state", "");
        return isFinal(state) && state != "succeeded" ? exitJobFailed : exitOk;
    }

    std::string requireSingleOperand(int argc, char** argv, const char* what)
    {
        if (optind + 1 != argc)
            failUsage(std::string("exactly one ") + what + " is required");
        return argv[optind];
    }

    enum submit_option : int {
        Workspace = 256,
        Team,
        Kind,
        Key,
        Class,
        Tasks,
        Accelerators,
        Cores,
        MemoryMb,
        Placement,
        RunTime,
        Deadline,
        Payload,
        FailureDomain,
        Checkpointable,
        NotPreemptible,
        File,
        Wait,
    };

    const option submitOptions[] = {
        { "workspace", required_argument, nullptr, Workspace },
        { "team", required_argument, nullptr, Team },
        { "kind", required_argument, nullptr, Kind },
        { "key", required_argument, nullptr, Key },
        { "class", required_argument, nullptr, Class },
        { "tasks", required_argument, nullptr, Tasks },
        { "accelerators", required_argument, nullptr, Accelerators },
        { "cores", required_argument, nullptr, Cores },
        { "memory-mb", required_argument, nullptr, MemoryMb },
        { "placement", required_argument, nullptr, Placement },
        { "run-time", required_argument, nullptr, RunTime },
        { "deadline", required_argument, nullptr, Deadline },
        { "payload", required_argument, nullptr, Payload },
        { "failure-domain", required_argument, nullptr, FailureDomain },
        { "checkpointable", no_argument, nullptr, Checkpointable },
        { "not-preemptible", no_argument, nullptr, NotPreemptible },
        { "file", required_argument, nullptr, File },
        { "wait", no_argument, nullptr, Wait },
        {},
    };

    // Applies one option to the submission. The caller handles `--file` and `--wait`.
    void applySubmitOption(int chosen, json& body)
    {
        constexpr std::int64_t millicoresPerCore = 1'000;
        switch (chosen) {
        case Workspace:
            body["workspace"] = optarg;
            return;
        case Team:
            body["team"] = optarg;
            return;
        case Kind:
            body["kind"] = optarg;
            return;
        case Key:
            body["client_key"] = optarg;
            return;
        case Class:
            body["class"] = optarg;
            return;
        case Tasks:
            body["tasks"] = readNumber("--tasks", optarg);
            return;
        case Accelerators:
            body["per_task"]["accelerators"] = readNumber("--accelerators", optarg);
            return;
        case Cores:
            body["per_task"]["millicores"] = readNumber("--cores", optarg) * millicoresPerCore;
            return;
        case MemoryMb:
            body["per_task"]["memory_mb"] = readNumber("--memory-mb", optarg);
            return;
        case Placement:
            body["placement"] = optarg;
            return;
        case RunTime:
            body["run_time_s"] = readNumber("--run-time", optarg);
            return;
        case Deadline:
            body["deadline_s"] = readNumber("--deadline", optarg);
            return;
        case Payload:
            body["payload"] = optarg;
            return;
        case FailureDomain:
            body["failure_domain"] = optarg;
            return;
        case Checkpointable:
            body["checkpointable"] = true;
            return;
        case NotPreemptible:
            body["preemptible"] = false;
            return;
        default:
            failUsage("invalid option");
        }
    }

} // namespace

int submitJob(const client_options& options, int argc, char** argv)
{
    json body = json::object();
    bool wait = false;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", submitOptions, nullptr)) != -1) {
        if (chosen == Wait) {
            wait = true;
        } else if (chosen == File) {
            body = json::parse(readDocument(optarg), nullptr, false);
            if (!body.is_object())
                failUsage(std::string("file ") + optarg + " must contain one JSON object");
        } else {
            applySubmitOption(chosen, body);
        }
    }
    if (optind != argc)
        failUsage(std::string("unexpected argument ") + argv[optind]);
    auto job = json::parse(sendCallOrThrow(options, { "POST", "/v1/jobs", {}, body.dump() }).body);
    if (wait)
        job = waitForEnd(options, job.at("id").get<std::string>());
    printJob(options, job);
    return exitCodeOf(job);
}

int showJob(const client_options& options, int argc, char** argv)
{
    static const option longOptions[] = { { "wait", no_argument, nullptr, Wait }, {} };
    bool wait = false;
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (chosen != Wait)
            failUsage("invalid option");
        wait = true;
    }
    const auto id = requireSingleOperand(argc, argv, "job id");
    const auto job = wait ? waitForEnd(options, id) : fetchJob(options, id);
    printJob(options, job);
    return exitCodeOf(job);
}

int listJobs(const client_options& options, int argc, char** argv)
{
    static const option longOptions[] = { { "workspace", required_argument, nullptr, Workspace },
        { "failure-domain", required_argument, nullptr, FailureDomain }, {} };
    std::string target = "/v1/jobs?";
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", longOptions, nullptr)) != -1) {
        if (chosen == Workspace)
            target += "workspace=" + escapeQuery(optarg) + "&";
        else if (chosen == FailureDomain)
            target += "failure_domain=" + escapeQuery(optarg) + "&";
        else
            failUsage("invalid option");
    }
    const auto response = json::parse(sendCallOrThrow(options, { "GET", target, {}, {} }).body);
    if (options.printsJson) {
        std::cout << response.dump() << '\n';
        return exitOk;
    }
    std::vector<std::vector<std::string>> rows { { "ID", "WORKSPACE", "KIND", "CLASS", "TASKS", "STATE", "ATTEMPT" } };
    for (const auto& job : response.at("jobs")) {
        std::vector<std::string> row;
        for (const char* key : { "id", "workspace", "kind", "class", "tasks", "state", "attempt" })
            row.push_back(formatCell(job.value(key, json())));
        rows.push_back(std::move(row));
    }
    printTable(std::cout, rows);
    if (response.value("more", false))
        std::cerr << "older jobs are not listed; `job show ID` tells whether there is one\n";
    return exitOk;
}

int cancelJob(const client_options& options, int argc, char** argv)
{
    static const option longOptions[] = { {} };
    if (getopt_long(argc, argv, "", longOptions, nullptr) != -1)
        failUsage("invalid option");
    const auto id = requireSingleOperand(argc, argv, "job id");
    const auto job = json::parse(sendCallOrThrow(options, { "DELETE", "/v1/jobs/" + escapeQuery(id), {}, {} }).body);
    printJob(options, job);
    return exitOk;
}

} // namespace chervilport
