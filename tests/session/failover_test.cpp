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

// Submits a job with an idempotency key, retries until it is accepted, and returns its id.
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

// Guards against an accepted job that is lost or recorded twice when the leader is killed during submissions.
Test(failover, killedLeaderLosesNoAcceptedJob)
{
    session_cluster cluster(threeInstances());
    cluster.startAll();
    cluster.startStandin(STANDIN_WORKER_PATH, { 1, 2, 3 }, { "--count", "4" });
    waitForWorkers(cluster, 2, 4);
    const auto leader = cluster.leader(2);
    std::vector<std::uint64_t> others { 1, 2, 3 };
    std::erase(others, leader);

    // Submit half of the jobs to the leader, kill it, and submit the other half to the other instances.
    std::vector<std::string> ids;
    ids.reserve(jobCount);
    for (int number = 0; number < jobCount; ++number) {
        if (number == jobCount / 2)
            cluster.kill(leader);
        ids.push_back(submitUntilAccepted(
            cluster, number < jobCount / 2 ? std::vector<std::uint64_t> { leader } : others, number));
    }

    // Resent jobs have their first ids, and all jobs succeed.
    for (int number = 0; number < jobCount; ++number)
        cr_assert(submitUntilAccepted(cluster, others, number) == ids[static_cast<std::size_t>(number)]);
    for (const auto& id : ids)
        waitUntil("job " + id + " succeeded", [&] { return stateOf(cluster, others.front(), id) == "succeeded"; });
}

// Guards against jobs that are acknowledged before they are synced to disk: all voters are killed at once.
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
        waitUntil("job " + id + " is queued again", [&] { return stateOf(cluster, 1, id) == "queued"; });
}

// Guards against a member without a disk that votes or counts towards a quorum before it is admitted again. It
// restarts, then the leader is killed, so that a commit needs the log of the restarted member.
Test(failover, restartedMemberWithoutDiskIsAdmittedBeforeItCounts)
{
    session_cluster cluster({ { 1, "local", true, true }, { 2, "local", true }, { 3, "local", false } });
    cluster.startAll();
    // Returns whether the leader lists three voters, among them the given incarnation of instance 3. Before that, the
    // loss of one member may stop the group.
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
        waitUntil("job " + id + " is queued", [&] { return stateOf(cluster, 3, id) == "queued"; });
    const auto third = submitUntilAccepted(cluster, { 3 }, 3);
    cr_assert(third != first && third != second);
}
