#include "tests/session/session_cluster.h"

#include <criterion/criterion.h>
#include <unistd.h>

using namespace chervilport;

namespace {

// Returns the executor that the instance lists; null when it lists none.
nlohmann::json executorOf(const session_cluster& cluster, std::uint64_t instance)
{
    const auto response = sendSessionCall({ "GET", cluster.address(instance), "/v1/upstreams", {}, {} });
    const auto document = response.json();
    if (!document.is_object() || document.value("upstreams", nlohmann::json::array()).empty())
        return nullptr;
    return document["upstreams"][0];
}

} // namespace

// Guards against a drained executor that gets new requests from other instances of its domain because its next
// announcement says that it is ready.
Test(drain, holdsOnAllInstancesAfterFurtherAnnouncements)
{
    session_cluster cluster({ { 1, "local", true, true }, { 2, "local", true }, { 3, "local", true } });
    cluster.startAll();
    cluster.startStandin(STANDIN_EXECUTOR_PATH, { 1 }, {});
    for (const std::uint64_t instance : { 1, 2, 3 }) {
        waitUntil("instance " + std::to_string(instance) + " lists the executor", [&] {
            const auto executor = executorOf(cluster, instance);
            return executor.is_object() && executor["state"] == "ready";
        });
    }
    const auto address = executorOf(cluster, 2)["address"].get<std::string>();
    const auto drained = sendSessionCall({ "POST", cluster.address(2), "/v1/upstreams/" + address + "/drain", {}, {} });
    cr_assert_eq(drained.status, 200);

    // The executor sends many announcements during these rounds; none may end the drain.
    const std::vector<std::string> headers { "Chervilport-Workspace: default" };
    const auto request = [&](std::uint64_t instance) {
        return sendSessionCall({ "GET", cluster.address(instance), "/v1/requests/pairing/check", headers, {} }).status;
    };
    for (const std::uint64_t instance : { 1, 3 })
        waitUntil(
            "instance " + std::to_string(instance) + " applies the drain", [&] { return request(instance) != 200; });
    for (int round = 0; round < 50; ++round) {
        for (const std::uint64_t instance : { 1, 3 })
            cr_assert_neq(request(instance), 200, "instance %d sent a request to the drained executor in round %d",
                static_cast<int>(instance), round);
        usleep(100'000);
    }
}
