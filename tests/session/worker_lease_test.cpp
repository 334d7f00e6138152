#include "tests/session/session_cluster.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

std::string submitGang(const session_cluster& cluster, std::uint64_t instance, int runMs)
{
    const nlohmann::json job { { "workspace", "default" }, { "tasks", 8 }, { "placement", "worker" },
        { "payload", R"({"run_ms":)" + std::to_string(runMs) + "}" } };
    const auto response = sendSessionCall({ "POST", cluster.address(instance), "/v1/jobs", {}, job.dump() });
    cr_assert_eq(response.status, 201);
    return response.json().at("id").get<std::string>();
}

nlohmann::json showJob(const session_cluster& cluster, std::uint64_t instance, const std::string& id)
{
    const auto response = sendSessionCall({ "GET", cluster.address(instance), "/v1/jobs/" + id, {}, {} });
    return response.status == 200 ? response.json() : nlohmann::json { { "state", "" } };
}

void waitForState(
    const session_cluster& cluster, std::uint64_t instance, const std::string& id, const std::string& state)
{
    waitUntil("job " + id + " is " + state, [&] { return showJob(cluster, instance, id)["state"] == state; });
}

void waitForWorkers(const session_cluster& cluster, std::uint64_t instance, int count)
{
    waitUntil("the workers joined", [&] {
        const auto status = cluster.status(instance);
        return status.contains("jobs") && status["jobs"]["workers"] == count;
    });
}

} // namespace

// Guards against a gang that waits forever for a killed worker, and against more than one attempt at a time after the
// first.
Test(workerLease, gangOfKilledWorkerRunsOnAnotherWorker)
{
    session_cluster cluster({ { 1, "local", true, true } }, "[timing]\nlease_ms = 1500\nlease_renewal_ms = 200\n");
    cluster.startAll();
    const auto first = cluster.startStandin(STANDIN_WORKER_PATH, { 1 }, { "--count", "1" });
    waitForWorkers(cluster, 1, 1);
    const auto id = submitGang(cluster, 1, 500);
    waitForState(cluster, 1, id, "running");
    cluster.standin(first).kill();
    const auto second = cluster.startStandin(STANDIN_WORKER_PATH, { 1 }, { "--count", "1" });
    waitForState(cluster, 1, id, "succeeded");
    cr_assert_geq(showJob(cluster, 1, id)["attempt"].get<int>(), 2);
    cr_assert_gt(cluster.standin(second).pid(), 0);
}

// Guards against a new leader that accepts a short announcement (`unchanged_since`) although it has not received the
// full announcement that it refers to, or that declares workers lost although they renew their leases. The gang runs
// for three lease durations under the new leader in one attempt.
Test(workerLease, newLeaderRenewsTheLeasesOfReachableWorkers)
{
    session_cluster cluster({ { 1, "local", true, true }, { 2, "local", true }, { 3, "local", true } },
        "[timing]\nlease_ms = 3000\nlease_renewal_ms = 300\n");
    cluster.startAll();
    cluster.startStandin(STANDIN_WORKER_PATH, { 1, 2, 3 }, { "--count", "2" });
    waitForWorkers(cluster, 2, 2);
    const auto leader = cluster.leader(2);
    const std::uint64_t other = leader == 1 ? 2 : 1;
    const auto id = submitGang(cluster, other, 10'000);
    waitForState(cluster, other, id, "running");
    cluster.kill(leader);
    waitForState(cluster, other, id, "succeeded");
    cr_assert_eq(showJob(cluster, other, id)["attempt"].get<int>(), 1);
}

// Guards against a task that runs again although it is done: a start command is delivered once more after the worker
// has forgotten the task, whose end was acknowledged.
Test(workerLease, startCommandThatArrivesLateRunsNoTaskAgain)
{
    session_cluster cluster({ { 1, "local", true, true } });
    cluster.startAll();
    cluster.startStandin(STANDIN_WORKER_PATH, { 1 }, { "--count", "1" });
    waitForWorkers(cluster, 1, 1);
    const auto id = submitGang(cluster, 1, 1'000);
    waitForState(cluster, 1, id, "running");
    const auto worker = showJob(cluster, 1, id).at("workers").front().get<std::string>();
    waitForState(cluster, 1, id, "succeeded");
    const auto readRecord = [&] { return sendSessionCall({ "GET", worker, "/record", {}, {} }).json(); };
    waitUntil("the worker has forgotten its tasks", [&] { return readRecord().at("tasks") == 0; });
    const auto before = readRecord();
    auto late = nlohmann::json::parse(R"({"sequence":1,"start":[{"job":1,"attempt":1,"rank":0,"payload":""}]})");
    late["epoch"] = before.at("epoch");
    late["incarnation"] = before.at("incarnation");
    cr_assert_eq(sendSessionCall({ "POST", worker, "/tasks", {}, late.dump() }).status, 200);
    cr_assert_eq(readRecord().at("started_tasks"), before.at("started_tasks"));
}
