// A heartbeat of another writer, with a service that no configuration names, arrives while a task runs on the executor
// at its address. Usage: scenario RECORD

#include "review/standin/deployment.h"
#include "review/standin/run_spans.h"

#include <thread>

namespace {

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr const char* job = "5c0e7a21d94b36f8";
constexpr const char* task = "5c0e7a21d94b36f8.0.0.0";
constexpr const char* workMs = "25000";

int run(review::record& output)
{
    review::deployment site(output);
    site.begin(review::makeConfig(1), 4, 32'000);

    // Start a job of one long task.
    const nlohmann::json step { { "count", 1 }, { "cpu", 2000 }, { "mem_mb", 1024 }, { "est_duration_ms", 25'000 } };
    const nlohmann::json body { { "spec", workMs }, { "steps", { step } } };
    const auto target = std::string(review::queuePrefix) + job;
    if (site.clientUntilAnswered("POST", target, body.dump()).status != ok)
        return 2;
    if (!review::waitUntil(10s, [&] { return !site.events().empty(); }))
        return 2;
    std::this_thread::sleep_for(3s);
    const auto holder = site.events().front().executor;
    for (const auto& each : site.executors()) {
        if (each->id() != holder || review::isTroubleOff())
            continue;
        // The other writer's heartbeat names a service that is in no configuration, so it names no executor to use.
        const nlohmann::json heartbeat { { "service", "zz-other" }, { "address", each->address() },
            { "zone", each->options().zone }, { "version", "v1" }, { "slots", 8 }, { "state", "ready" },
            { "cold_left_ms", 0 }, { "capacity", { { "cpu", 1000 }, { "mem_mb", 1024 }, { "gpu", 0 } } },
            { "labels", { "a", "r1-1" } }, { "clock_ms", 10 }, { "born", review::wallMs() }, { "seq", 1 } };
        const auto response
            = review::call(site.controlAddresses().front(), { "PUT", "/v1/instances/x-1", {}, heartbeat.dump() }, 1s);
        output.line(
            "another writer: PUT /v1/instances/x-1 " + heartbeat.dump() + " -> " + std::to_string(response.status));
    }

    // Wait until the task has ended; a run that goes on ends within its work and the longest lease.
    std::this_thread::sleep_for(15s);
    const bool overlaps = review::hasOverlap(site.events(), task, output);
    site.client(0, "GET", target);
    output.line(overlaps ? std::string("RESULT: TWICE is broken: ") + task + " ran twice at the same time"
                         : std::string("RESULT: held"));
    return overlaps ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) { return review::runScenario(count, arguments, &run); }
