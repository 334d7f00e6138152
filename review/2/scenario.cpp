// An executor leaves as planned and starts again under its id, while a machine of the core is frozen that it has told
// that it leaves. Usage: scenario RECORD

#include "review/standin/deployment.h"
#include "review/standin/run_spans.h"

#include <csignal>
#include <thread>

namespace {

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr std::size_t executors = 4;
constexpr std::int64_t cpuOfExecutor = 32'000;
constexpr const char* job = "5c0e7a21d94b36f8";
/// Time for which the machine is frozen.
constexpr auto freezeTime = 4s;
/// Time between the end of the executor and its next start.
constexpr auto startTime = 300ms;

std::string jobBody(std::int64_t count, std::int64_t workMs)
{
    const nlohmann::json step { { "count", count }, { "cpu", cpuOfExecutor }, { "mem_mb", 1024 },
        { "est_duration_ms", workMs } };
    return nlohmann::json { { "spec", std::to_string(workMs) }, { "steps", { step } } }.dump();
}

/// Returns the addresses of the control machines: one that does not lead first, then the others.
std::vector<std::string> followerFirst(review::deployment& site, review::node& follower)
{
    std::vector<std::string> nodes { site.controlAddress(follower) };
    for (const auto& each : site.controlAddresses()) {
        if (each != nodes.front())
            nodes.push_back(each);
    }
    return nodes;
}

int run(review::record& output)
{
    review::deployment site(output);
    site.begin(review::makeConfig(1), executors, cpuOfExecutor);
    auto* const leader = site.leader();
    if (leader == nullptr)
        return 2;
    auto& follower = leader == &site.control().front() ? site.control().back() : site.control().front();
    output.line(leader->name + " leads, " + follower.name + " does not");

    // An executor drains; the others get a task each that ends before the machine wakes.
    auto& leaving = *site.executors().front();
    if (!leaving.drain())
        return 2;
    std::this_thread::sleep_for(2500ms);
    const auto prefix = std::string(review::queuePrefix);
    if (site.clientUntilAnswered("POST", prefix + "aaaaaaaaaaaaaaaa", jobBody(3, 4'500)).status != ok
        || !review::waitUntil(5s, [&] { return site.events().size() == 3; }))
        return 2;

    // The executor tells the frozen machine that it leaves, then, without an answer, the next one. It starts again.
    const bool isFrozen = !review::isTroubleOff();
    const auto frozenAt = std::chrono::steady_clock::now();
    if (isFrozen)
        site.signal(follower, SIGSTOP);
    const bool isAcknowledged = leaving.leave(followerFirst(site, follower));
    std::this_thread::sleep_for(startTime);
    leaving.restart();

    // A job starts on it, since the other executors are full.
    const bool isAccepted = site.clientUntilAnswered("POST", prefix + job, jobBody(1, 20'000)).status == ok;
    const bool isAtWork = review::waitUntil(2s, [&] { return leaving.runningCount() == 1; });

    // The machine wakes.
    std::this_thread::sleep_until(frozenAt + freezeTime);
    if (isFrozen)
        site.signal(follower, SIGCONT);
    if (!isAcknowledged || !isAccepted || !isAtWork)
        return 2;
    std::this_thread::sleep_for(8s);
    const bool overlaps = review::hasOverlap(site.events(), std::string(job) + ".0.0.0", output);
    site.client(0, "GET", prefix + job);
    output.line(overlaps ? "RESULT: TWICE is broken" : "RESULT: held");
    return overlaps ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) { return review::runScenario(count, arguments, &run); }
