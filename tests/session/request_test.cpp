#include "tests/session/session_cluster.h"

#include <atomic>
#include <chrono>
#include <criterion/criterion.h>
#include <fstream>
#include <set>
#include <thread>

using namespace chervilport;

namespace {

constexpr int clientCount = 6;
constexpr long stillRunning = 409;
constexpr long unknownOutcome = 502;

std::vector<session_instance> threeInstances()
{
    return { { 1, "local", true, true }, { 2, "local", true }, { 3, "local", true } };
}

// Starts one executor and returns its address once every given instance routes to it.
std::string startExecutor(session_cluster& cluster, const std::vector<std::uint64_t>& instances)
{
    const auto file = cluster.folder() + "/executor";
    cluster.startStandin(STANDIN_EXECUTOR_PATH, instances, { "--service", "pairing", "--address-file", file });
    for (const auto id : instances) {
        waitUntil("instance " + std::to_string(id) + " routes requests", [&] {
            const auto target = "/v1/requests/pairing/ready";
            return sendSessionCall({ "GET", cluster.address(id), target, { "Chervilport-Workspace: default" }, {} })
                       .status
                == 200;
        });
    }
    std::string address;
    std::ifstream(file) >> address;
    return address;
}

session_response sendRequest(const session_cluster& cluster, std::uint64_t id, const std::string& key, int serviceUs)
{
    return sendSessionCall({ "POST", cluster.address(id), "/v1/requests/pairing/book",
        { "Chervilport-Workspace: default", "Chervilport-Key: " + key, "Chervilport-Idempotent: false",
            "Chervilport-Deadline-Ms: 600000", "Standin-Service-Us: " + std::to_string(serviceUs) },
        "booking " + key });
}

nlohmann::json recordOf(const std::string& executor)
{
    return sendSessionCall({ "GET", executor, "/record", {}, {} }).json();
}

} // namespace

// Guards against a graceful shutdown that interrupts requests in flight or exits with another code than 0.
Test(requests, gracefulShutdownFinishesRequestsInFlight)
{
    session_cluster cluster(threeInstances());
    cluster.startAll();
    const auto executor = startExecutor(cluster, { 2 });
    std::atomic<int> succeeded { 0 };
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i) {
        threads.emplace_back([&, i] {
            const auto response = sendRequest(cluster, 2, "stop-" + std::to_string(i), 800'000);
            succeeded += response.status == 200 && response.body.find("stop-" + std::to_string(i)) != std::string::npos;
        });
    }
    waitUntil("a request runs", [&] { return recordOf(executor).value("running", 0) > 0; });
    cluster.terminate(2);
    for (auto& thread : threads)
        thread.join();
    cr_assert_eq(cluster.wait(2), 0);
    cr_assert_eq(succeeded.load(), clientCount);
}

// Guards against a non-idempotent request that runs twice when the instance that claimed its key is killed and the
// client resends it through other instances. Also guards against a restarted instance that counts as the incarnation
// that holds the claim: the claim would end only after the deadline of ten minutes.
Test(requests, keyRunsOnceWhenItsInstanceIsKilled)
{
    session_cluster cluster(threeInstances());
    cluster.startAll();
    const auto executor = startExecutor(cluster, { 1, 2, 3 });
    const auto runsBefore = recordOf(executor).at("runs").size();
    const auto leader = cluster.leader(1);
    const std::uint64_t claiming = leader == 1 ? 2 : 1;
    const std::uint64_t other = 6 - leader - claiming;
    std::thread client([&] { sendRequest(cluster, claiming, "booking-1", 1'000'000); });
    waitUntil("the request runs", [&] { return recordOf(executor).value("running", 0) > 0; });
    cluster.kill(claiming);
    client.join();

    // Each resend gets the response that the request is running or that its outcome is unknown, never that it was not
    // run.
    cluster.start(claiming);
    std::set<long> statuses;
    waitUntil("the claim has ended", [&] {
        const auto response = sendRequest(cluster, statuses.size() % 2 ? leader : other, "booking-1", 1'000'000);
        statuses.insert(response.status);
        return response.status == unknownOutcome;
    });
    for (const auto status : statuses)
        cr_assert(status == stillRunning || status == unknownOutcome, "a resend was answered with %ld", status);
    cr_assert_eq(recordOf(executor).at("runs").size(), runsBefore + 1);

    // The restarted instance is granted slots again and serves requests.
    waitUntil(
        "the restarted instance serves", [&] { return sendRequest(cluster, claiming, "booking-2", 0).status == 200; });
}
