#include "chervilport/core/chervilport_error.h"
#include "platform/boot_settings.h"
#include "platform/config_wire.h"
#include "platform/job_wire.h"
#include "platform/worker_wire.h"

#include <criterion/criterion.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace chervilport;
using namespace chervilport::platform;

namespace {

std::string golden(const std::string& name)
{
    std::ifstream file(std::string(CHERVILPORT_SOURCE_DIR) + "/tests/platform/golden/" + name);
    cr_assert(file.good(), "missing %s", name.c_str());
    std::ostringstream text;
    text << file.rdbuf();
    auto content = text.str();
    while (!content.empty() && content.back() == '\n')
        content.pop_back();
    return content;
}

const worker_target target { "10.128.0.9:8080", "i-7f3a91c2" };

} // namespace

// Guards against a task name that is parsed as another task.
Test(jobWire, taskNamesAreReadInFull)
{
    const batch::task_ref task { "5c0e7a21d94b36f8", 3, 1, 17 };
    cr_assert(taskName(task) == "5c0e7a21d94b36f8.3.1.17");
    cr_assert(readTaskName(taskName(task)) == task);
    for (const auto* const wrong : { "", "5c0e", "5c0e.1.2", "5c0e.1.2.x", "5c0e.1.2.3.4", ".1.2.3", "5c0e.1.2.3 " })
        cr_assert(!readTaskName(wrong).has_value(), "%s", wrong);
}

// Guards against fields of a submission that are lost or confused.
Test(jobWire, submissionIsReadInFull)
{
    const auto request = readJobRequest("5c0e7a21d94b36f8", golden("submission.json"));
    cr_assert(request.spec == "(text)");
    cr_assert_eq(request.steps.size(), 2);
    const auto& first = request.steps[0];
    cr_assert_eq(first.count, 4);
    cr_assert(first.demand == (batch::resource_demand { 500, 256, 0 }));
    cr_assert(first.dataRack == "r1-3");
    const auto& second = request.steps[1];
    cr_assert(second.checkpointing);
    cr_assert(second.gang);
    cr_assert(second.rackLocal);
    cr_assert_eq(second.demand.accelerators, 2);
    cr_assert_eq(second.maxPerWorker, 3);
    cr_assert(second.dependsOn == std::vector<std::uint32_t> { 0 });
    cr_assert_eq(request.repeatCount, 6);
    cr_assert_eq(request.firstMs, 1'770'000'000'000);
}

// Guards against a damaged submission that is accepted, or that crashes the process.
Test(jobWire, damagedSubmissionsAreRefused)
{
    for (const auto* const body : { "", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
             R"({"steps":[{"count":"4"}]})", R"({"steps":[{"depends_on":[0]}]})", R"({"steps":[7]})" })
        cr_assert_throw(readJobRequest("5c0e7a21d94b36f8", body), chervilport_error, "%s", body);
}

// Guards against malformed ids that are accepted.
Test(jobWire, idsHaveSixteenDigits)
{
    cr_assert(isJobId("5c0e7a21d94b36f8"));
    cr_assert(!isJobId("5c0e7a21d94b36f"));
    cr_assert(!isJobId("5c0e7a21d94b36fg"));
}

// Guards against a configuration that is accepted although only part of it was read.
Test(configWire, configurationIsReadInFull)
{
    const auto text = golden("config.json");
    const auto config = readSiteConfig(text);
    cr_assert_eq(config.version, 7);
    cr_assert_eq(config.queues.size(), 3);
    cr_assert(config.queues[2].host == "ficu95.example");
    cr_assert_eq(config.queues[2].baseObjectiveMs, 250);
    cr_assert_float_eq(config.queues[2].stretch, 1.5, 0.001);
    cr_assert_eq(config.queues[0].maxAttempts, 2);
    cr_assert_eq(config.workspaces.front().guaranteedAccelerators, 72);
    cr_assert_eq(config.workspaces.front().keys.size(), 2);
    cr_assert(config.document == text);
    cr_assert_throw(readSiteConfig(text.substr(0, text.size() / 2)), chervilport_error);
    cr_assert_throw(readSiteConfig(R"({"version":1})"), chervilport_error);
}

// Guards against an invalid or damaged heartbeat that registers a worker.
Test(workerWire, invalidHeartbeatsAreRefused)
{
    const auto good = golden("heartbeat.json");
    const auto report = readHeartbeat("i-7f3a91c2", good);
    cr_assert(report.address == "10.128.0.9:8080");
    cr_assert(report.rack == "r1-3");
    cr_assert(!report.draining);
    cr_assert_eq(report.capacity.accelerators, 8);
    cr_assert_eq(report.incarnation, 1'770'000'000'123);
    for (const auto* const body : { "", "\xff\xfe", "{}", R"({"service":7})",
             R"({"service":"s","address":"a:1","zone":"z","seq":1,"state":"asleep","capacity":{"cpu":1}})",
             R"({"service":"s","address":"a:1","zone":"z","seq":"1","state":"ready","capacity":{"cpu":1}})",
             R"({"service":"s","address":"a:1","zone":"z","seq":1,"state":"ready"})" })
        cr_assert_throw(readHeartbeat("i", body), chervilport_error, "%s", body);
}

// Guards against request bodies that a worker would read differently.
Test(workerWire, requestsMatchTheirGoldenFiles)
{
    const batch::run_ref run { { "5c0e7a21d94b36f8", 0, 1, 17 }, 2 };
    cr_assert(writeStart({ run, "(text)", 486'000, 7, "00000bb87a21d94b" }) == golden("start.json"));
    cr_assert(writeStop({ run, 7 }) == golden("stop.json"));
    cr_assert(writePoll({ 486'000, 7, 57, std::chrono::milliseconds(1'000) }) == golden("look.json"));
    cr_assert(writePoll({ std::nullopt, 7, 0, std::chrono::milliseconds(0) }) == golden("first-look.json"));
}

// Guards against one invalid row that hides the valid ones.
Test(workerWire, unreadableRowsAreLeftOut)
{
    const auto poll = readPollResponse(golden("look-answer.json"), target);
    cr_assert(poll.result.reply == worker_reply::Done);
    cr_assert_eq(*poll.result.clockMs, 482'113);
    cr_assert_eq(poll.running.size(), 1);
    cr_assert(poll.running.front().checkpoint == "00000bb87a21d94b");
    cr_assert_eq(poll.ended.size(), 2);
    cr_assert(poll.hasUnreadableRows);
    cr_assert_eq(poll.ended[0].number, 58);
    cr_assert(poll.ended[0].kind == batch::run_end_kind::Done);
    cr_assert(poll.ended[1].kind == batch::run_end_kind::GangIncomplete);
    cr_assert_throw(readPollResponse("nonsense", target), chervilport_error);
}

// Guards against a part of a worker's ends that is taken for all of them.
Test(workerWire, fullListOfEndsMayNotBeTheLast)
{
    const auto bodyWith = [](int ends) {
        nlohmann::json body { { "clock_ms", 1 }, { "running", nlohmann::json::array() },
            { "finished", nlohmann::json::array() } };
        for (int number = 1; number <= ends; ++number)
            body["finished"].push_back({ number, "5c0e7a21d94b36f8.0.0." + std::to_string(number), 1, "done", "" });
        return body.dump();
    };
    cr_assert_not(readPollResponse(bodyWith(499), target).hasMoreEnds);
    cr_assert(readPollResponse(bodyWith(500), target).hasMoreEnds);
}

// Guards against a response that is damaged and passes for one of a worker without runs and ends.
Test(workerWire, responseWithoutAListIsRefused)
{
    cr_assert_not(readPollResponse(R"({"clock_ms":1,"running":[],"finished":[]})", target).hasUnreadableRows);
    cr_assert_throw(readPollResponse(R"({"clock_ms":1,"running":[]})", target), chervilport_error);
    cr_assert_throw(readPollResponse(R"({"clock_ms":1,"finished":[]})", target), chervilport_error);
    cr_assert_throw(readPollResponse(R"({"clock_ms":1,"running":null,"finished":[]})", target), chervilport_error);
}

// Guards against refusals that are confused, as each is handled differently.
Test(workerWire, refusalsKeepTheirReason)
{
    cr_assert(readResult(200, R"({"clock_ms":5})").reply == worker_reply::Done);
    cr_assert(readResult(409, R"({"clock_ms":5,"reason":"fence"})").reply == worker_reply::Fenced);
    cr_assert(readResult(409, R"({"reason":"old"})").reply == worker_reply::OutdatedRun);
    cr_assert(readResult(409, R"({"reason":"late"})").reply == worker_reply::LeaseExpired);
    cr_assert(readResult(409, R"({"reason":"room"})").reply == worker_reply::InsufficientCapacity);
    cr_assert(readResult(409, "x").reply == worker_reply::Refused);
    cr_assert(readResult(421, "").reply == worker_reply::IncarnationMismatch);
    cr_assert(readResult(503, "").reply == worker_reply::Unhealthy);
    cr_assert(readResult(500, "").reply == worker_reply::NoResponse);
    cr_assert(!readResult(500, "").clockMs.has_value());
}

// Guards against settings that are lost, and against a process that starts with invalid settings.
Test(bootSettings, settingsFileIsRead)
{
    const auto core = parseBootSettings(golden("core.toml"));
    cr_assert(core.node.name == "core-pnw-sea-1");
    cr_assert_eq(core.node.peerPort, 7'000);
    cr_assert_eq(core.node.seeds.size(), 3);
    cr_assert(core.node.seeds[1].ip == "10.2.0.38");
    cr_assert_eq(core.node.seeds[1].port, 7'000);
    cr_assert(core.node.mayBootstrap);
    cr_assert(core.node.dataFolder == "/data/my-core");
    cr_assert(core.controlListen == "10.1.0.22:8526");
    cr_assert(core.clientListen.empty());
    cr_assert_eq(core.node.stopGrace.count(), 6'000);
    cr_assert_eq(core.node.workers.maxLease.count(), 10'000);
    cr_assert_eq(core.node.maxDescriptors, 2'048);
    cr_assert_eq(core.node.workers.reclaimTime.count(), 2'900);
    cr_assert_float_eq(core.node.workers.offRackSlowdown, 2.5, 0.001);
    cr_assert(core.node.bindIp == "10.1.0.22");
    auto forwarded = golden("core.toml");
    forwarded.insert(0, "bind_ip = \"10.9.0.1\"\n");
    cr_assert(parseBootSettings(forwarded).node.bindIp == "10.9.0.1");
    cr_assert_throw(parseBootSettings("node_name = "), chervilport_error);
    cr_assert_throw(parseBootSettings("node_name = 'x'"), chervilport_error);
}
