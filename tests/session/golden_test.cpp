#include "tests/session/session_cluster.h"
#include "tests/session/session_recording.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

std::vector<session_instance> oneInstance() { return { { 1, "local", true, true } }; }

void startWorkers(session_cluster& cluster)
{
    cluster.startStandin(STANDIN_WORKER_PATH, { 1 }, { "--count", "2" });
    waitUntil("both workers joined", [&] {
        const auto status = cluster.status(1);
        return status.contains("jobs") && status["jobs"]["workers"] == 2;
    });
}

std::string environmentDocument(int tasks)
{
    return R"([environment]
name = "local"
failure_domains = ["local"]

[[workspace]]
name = "rosters"

[[workspace.domain]]
name = "local"

[[workspace.domain.guarantee]]
tasks = )"
        + std::to_string(tasks) + "\naccelerators = 1\nmillicores = 1000\nmemory_mb = 1024\n";
}

} // namespace

// Guards against a change of the responses that clients get from the submission of a job to its end: its states and
// members, and the responses to a resend and to a cancellation of an ended job.
Test(golden, jobLifecycle)
{
    session_cluster cluster(oneInstance());
    cluster.startAll();
    startWorkers(cluster);
    session_recording session(cluster.address(1));

    const std::string first = R"({"workspace":"default","team":"night","kind":"roster","client_key":"roster-1",)"
                              R"("tasks":16,"payload":"{\"run_ms\":200}"})";
    session.call("POST", "/v1/jobs", first);
    session.waitFor("/v1/jobs/local-1", "state", "succeeded");
    session.call("POST", "/v1/jobs", first);

    session.call("POST", "/v1/jobs",
        R"({"workspace":"default","class":"batch","tasks":4,"placement":"worker","payload":"{\"run_ms\":600000}"})");
    session.waitFor("/v1/jobs/local-2", "state", "running");
    session.call("GET", "/v1/jobs?workspace=default");
    session.call("DELETE", "/v1/jobs/local-2");
    session.waitFor("/v1/jobs/local-2", "state", "cancelled");
    session.call("DELETE", "/v1/jobs/local-1");
    session.call("DELETE", "/v1/jobs/local-2");
    session.call("GET", "/v1/jobs/local-3");
    session.compare("job_life");
}

// Guards against an invalid call that is accepted, or whose response has another error kind or outcome.
Test(golden, refusedRequests)
{
    session_cluster cluster(oneInstance());
    cluster.startAll();
    session_recording session(cluster.address(1));
    constexpr std::size_t tooManyBytes = (std::size_t { 1 } << 20) + 1;

    session.call("POST", "/v1/jobs", R"({"workspace":)");
    session.call("POST", "/v1/jobs", R"(["default"])");
    session.call("POST", "/v1/jobs", R"({"workspace":"default","tasks":"four"})");
    session.call("POST", "/v1/jobs", R"({"workspace":"default","tasks":65})");
    session.call("POST", "/v1/jobs", R"({"workspace":"default","tasks":99999999999999999999})");
    session.call("POST", "/v1/jobs", R"({"workspace":"default","run_time_s":-1})");
    session.call("POST", "/v1/jobs", R"({"workspace":"default","colour":"green"})");
    session.call("POST", "/v1/jobs", R"({"workspace":"default","per_task":{"gpus":1}})");
    session.call("POST", "/v1/jobs", R"({"tasks":1})");
    session.call("POST", "/v1/jobs", R"({"workspace":"elsewhere"})");
    session.call("POST", "/v1/jobs", R"({"workspace":"default"})", { "Chervilport-Deadline-Ms: soon" });
    session.call("POST", "/v1/jobs", std::string(tooManyBytes, ' '), { "Expect:" });
    session.call("PATCH", "/v1/jobs", "{}");
    session.call("GET", "/v1/jobs?limit=0");
    session.call("GET", "/v1/nothing");
    session.call("GET", "/internal/capacity");
    session.call("POST", "/v1/upstreams/127.0.0.1:1/drain");
    session.call("POST", "/v1/requests/pairing/check", "{}");
    session.call("POST", "/v1/requests/pairing/check", "{}", { "Chervilport-Workspace: default" });
    session.call("POST", "/v1/requests/pairing/check", "{}",
        { "Chervilport-Workspace: default", "Chervilport-Key: k", "Chervilport-Idempotent: maybe" });
    session.call("POST", "/v1/requests/pairing/check", "{}",
        { "Chervilport-Workspace: default", "Chervilport-Key: k", "Chervilport-Class: vip" });
    session.call(
        "POST", "/v1/requests/pairing/check", "{}", { "Chervilport-Workspace: elsewhere", "Chervilport-Key: k" });
    session.call("POST", "/v1/requests/pairing/check", "{}",
        { "Chervilport-Workspace: default", "Chervilport-Key: k", "Chervilport-Deadline-Ms: 300" });
    session.call(
        "GET", "/v1/requests/pairing/check", {}, { "Chervilport-Workspace: default", "Chervilport-Deadline-Ms: 300" });
    session.compare("refused_requests");
}

// Guards against concurrent changes of two operators that overwrite each other, and against a resend that gets another
// response than the first call.
Test(golden, configurationRace)
{
    session_cluster cluster(oneInstance());
    cluster.startAll();
    startWorkers(cluster);
    session_recording session(cluster.address(1));
    const auto put = [&](const std::string& key, const std::string& name, int expected, int tasks) {
        return session.call("PUT", "/v1/config/trial", environmentDocument(tasks),
            { "Chervilport-Key: " + key, "Chervilport-Operator: " + name,
                "Chervilport-Expected-Version: " + std::to_string(expected) });
    };

    session.call("GET", "/v1/config");
    const auto firstResponse = put("a-1", "ana", 0, 16);
    put("b-1", "ben", 0, 8);
    put("a-1", "ana", 0, 16);
    put("a-1", "ana", 0, 8);
    put("b-2", "ben", 1, 65);
    const auto hash = firstResponse.json().value("trial_hash", "");
    const std::string promotion = R"({"version":1,"hash":")" + hash + R"("})";
    session.call("POST", "/v1/config/promote", promotion, { "Chervilport-Key: a-2", "Chervilport-Operator: ana" });
    session.call("POST", "/v1/config/prove", R"({"version":1})");
    session.call(
        "POST", "/v1/config/prove", R"({"version":1})", { "Chervilport-Key: a-3", "Chervilport-Operator: ana" });
    session.call("POST", "/v1/config/promote", promotion, { "Chervilport-Key: a-4", "Chervilport-Operator: ana" });
    session.call("POST", "/v1/config/promote", promotion, { "Chervilport-Key: a-4", "Chervilport-Operator: ana" });
    put("b-3", "ben", 1, 17);
    session.call(
        "POST", "/v1/config/prove", R"({"version":2})", { "Chervilport-Key: b-4", "Chervilport-Operator: ben" });
    session.call("GET", "/v1/config");
    session.call("GET", "/v1/config/history");
    session.compare("configuration_race");
}
