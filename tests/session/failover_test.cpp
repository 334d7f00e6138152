#include "tests/session/session_cluster.h"

#include <criterion/criterion.h>

using namespace chervilport;

namespace {

constexpr int jobCount = 12;

std::vector<session_instance> threeInstances()
{
    return { { 1, "local", true, true }, { 2, "local", true }, { 3, "local", true } };
}

std::string jobBody(int number)
{
    return nlohmann::json {
        { "workspace", "default" }, { "tasks", 8 }, { "client_key", "job-" + std::to_string(number) },
        { "payload", R"({"run_ms":300})" }
    }.dump();
}

// Submits a job until it is accepted, as a caller with an idempotency key does, and returns its id.
std::string submitUntilAccepted(const session_cluster& cluster, const std::vector<std::uint64_t>& instances, int number)
{
    std::string id;
    std::size_t next = 0;
    waitUntil("job " + std::to_string(number) + " is accepted", [&] {
        const auto instance = instances[next++ % instances.size()];
        const auto response = sendSessionCall({ "POST", cluster.address(instance), "/v1/jobs", {}, jobBody(number) });
        if (response.status == 200 || response.status == 201)
            id = response.json().at("id").get<std::string>();
        return !id.empty();
    });
    return id;
}

void waitForWorkers(const session_cluster& cluster, std::uint64_t instance, int count)
{
    waitUntil("all workers joined", [&] {
        const auto status = cluster.status(instance);
        return status.contains("jobs") && status["jobs"]["workers"] == count;
    });
}

std::string stateOf(const session_cluster& cluster, std::uint64_t instance, const std::string& id)
{
    const auto response = sendSessionCall({ "GET", cluster.address(instance), "/v1/jobs/" + id, {}, {} });
    return response.status == 200 ? response.json().at("state").get<std::string>() : "";
}

} // namespace

// Guards against an accepted job that is lost or recorded twice when the leader dies in the middle of submissions.
Test(failover, killedLeaderLosesNoAcceptedJob)
{
    session_cluster cluster(threeInstances());
    cluster.startAll();
    cluster.startStandin(STANDIN_WORKER_PATH, { 1, 2, 3 }, { "--count", "4" });
    waitForWorkers(cluster, 2, 4);
    const auto leader = cluster.leader(2);
    std::vector<std::uint64_t> others { 1, 2, 3 };
    std::erase(others, leader);

    // Half of the jobs go to the leader that is then killed, the others to the rest.
    std::vector<std::string> ids;
    ids.reserve(jobCount);
    for (int number = 0; number < jobCount; ++number) {
        if (number == jobCount / 2)
            cluster.kill(leader);
        ids.push_back(submitUntilAccepted(
            cluster, number < jobCount / 2 ? std::vector<std::uint64_t> { leader } : others, number));
    }

    // Every job is known under its first id, and each ends well.
    for (int number = 0; number < jobCount; ++number)
        cr_assert(submitUntilAccepted(cluster, others, number) == ids[static_cast<std::size_t>(number)]);
    for (const auto& id : ids)
        waitUntil("job " + id + " succeeded", [&] { return stateOf(cluster, others.front(), id) == "succeeded"; });
}

// Guards against state that was acknowledged but not synced: all voters die at once.
Test(failover, acceptedJobsSurviveTheKillOfAllInstances)
{
    session_cluster cluster(threeInstances());
    cluster.startAll();
    std::vector<std::string> ids;
    ids.reserve(jobCount);
    for (int number = 0; number < jobCount; ++number)
        ids.push_back(submitUntilAccepted(cluster, { 1, 2, 3 }, number));
    for (const std::uint64_t id : { 1, 2, 3 })
        cluster.kill(id);
    for (const std::uint64_t id : { 1, 2, 3 })
        cluster.start(id);
    for (const auto& id : ids)
        waitUntil("job " + id + " is known again", [&] { return stateOf(cluster, 1, id) == "queued"; });
}

// Guards against a member without a disk that votes or counts before it was admitted again: it restarts, then the
// leader dies, so that the commit needs what the restarted member holds.
Test(failover, restartedMemberWithoutDiskIsAdmittedBeforeItCounts)
{
    session_cluster cluster({ { 1, "local", true, true }, { 2, "local", true }, { 3, "local", false } });
    cluster.startAll();
    // Returns whether all three vote, and the given incarnation of instance 3 among them, as the leader sees it. Before
    // that the loss of one member may rightly stop the group.
    const auto isVoting = [&](std::uint64_t incarnation) {
        const auto leader = cluster.leader(1);
        const auto status = leader ? cluster.status(leader) : nlohmann::json::object();
        if (!status.contains("domain_log") || status["domain_log"]["role"] != "leader")
            return false;
        if (status["domain_log"]["voters"].size() != 3)
            return false;
        for (const auto& voter : status["domain_log"]["voters"]) {
            if (voter["instance"] == 3 && voter["incarnation"] == incarnation)
                return true;
        }
        return false;
    };
    const auto incarnationOf3 = [&] {
        const auto status = cluster.status(3);
        return status.contains("incarnation") ? status["incarnation"].get<std::uint64_t>() : 0;
    };
    waitUntil("the first incarnation votes", [&] { return isVoting(incarnationOf3()); });
    const auto first = submitUntilAccepted(cluster, { 1 }, 1);
    const auto incarnation = incarnationOf3();
    cluster.kill(3);
    const auto second = submitUntilAccepted(cluster, { 1, 2 }, 2);
    cluster.start(3);
    waitUntil("the new incarnation votes", [&] {
        const auto restarted = incarnationOf3();
        return restarted > incarnation && isVoting(restarted);
    });
    const auto leader = cluster.leader(3);
    cluster.kill(leader);
    for (const auto& id : { first, second })
        waitUntil("job " + id + " is known", [&] { return stateOf(cluster, 3, id) == "queued"; });
    const auto third = submitUntilAccepted(cluster, { 3 }, 3);
    cr_assert(third != first && third != second);
}
