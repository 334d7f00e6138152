#include "review/driver-3/callers.h"
#include "review/driver-3/cases.h"
#include "review/driver-3/cluster.h"
#include "review/driver-3/record.h"

#include <optional>
#include <thread>

namespace chervilport::review {

namespace {

    using namespace std::chrono_literals;

    constexpr const char* key = "d4a3hwrr6x73d3zji9n7";
    constexpr std::int64_t version = 7;
    constexpr auto patience = 20s;
    /// Time between the starts of the first core and of all others, and the longest that the pages allow.
    constexpr auto startSpread = 250ms;
    constexpr auto maxStartSpread = 300ms;
    /// Time after which the operator sends the configuration for the first time.
    constexpr auto listenTime = 100ms;
    /// Time for which the machine whose disk is lost stays down.
    constexpr auto downTime = 1s;
    /// Time after which the operator reads back: `recovery_s` and more.
    constexpr auto recovery = 15s;
    constexpr auto readPause = 500ms;
    constexpr int reads = 24;
    constexpr std::size_t cores = 3;

} // namespace

case_result runFirstConfig(record& log, bool hasTrouble)
{
    cluster site({ cores, 2 }, log);
    site_operator admin(site, log);
    std::optional<std::size_t> acknowledging;
    std::thread sender([&] {
        std::this_thread::sleep_for(listenTime);
        acknowledging = admin.putConfig(makeConfig(version, { { "r-1", "/r/" } }, { { "kaje80", key } }), patience);
    });
    const auto begin = std::chrono::steady_clock::now();
    site.startAll(startSpread);
    const auto spread = std::chrono::steady_clock::now() - begin;
    sender.join();
    if (!acknowledging || spread > maxStartSpread)
        return case_result::NotRun;

    // The node that has acknowledged loses its disk and comes back with an empty one.
    if (hasTrouble) {
        site.killCore(*acknowledging);
        site.wipeCore(*acknowledging);
        std::this_thread::sleep_for(downTime);
        site.startCore(*acknowledging);
    }

    // Read back at all nodes in turn.
    std::this_thread::sleep_for(recovery);
    int matches = 0;
    int others = 0;
    for (int i = 0; i < reads; ++i) {
        const auto read = admin.readVersion(static_cast<std::size_t>(i) % cores);
        matches += read == version ? 1 : 0;
        others += read && read != version ? 1 : 0;
        std::this_thread::sleep_for(readPause);
    }
    log.add(std::to_string(reads) + " reads: " + std::to_string(matches) + " with the acknowledged version, "
        + std::to_string(others) + " with another one");
    if (!site.areAllRunning() && !hasTrouble)
        return case_result::NotRun;
    return matches > 0 && others == 0 ? case_result::Held : case_result::Broken;
}

} // namespace chervilport::review
