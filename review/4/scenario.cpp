// A scheduled job while all processes of the core are killed and are back within a second. Usage: scenario RECORD

#include "review/standin/deployment.h"

#include <set>
#include <thread>

namespace {

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr int occurrences = 8;
constexpr std::int64_t intervalMs = 1'000;
/// Time for which nothing runs, as the rule states it.
constexpr auto idleBound = 3s;
constexpr const char* job = "5c0e7a21d94b36f8";

/// Returns the numbers of the occurrences of which a task has started.
std::set<int> startedOccurrences(const std::vector<review::run_event>& events)
{
    std::set<int> started;
    for (const auto& each : events) {
        // A task's name has the form ID.K.STEP.INDEX.
        if (each.what == "start")
            started.insert(std::stoi(each.task.substr(each.task.find('.') + 1)));
    }
    return started;
}

int run(review::record& output)
{
    review::deployment site(output);
    site.begin(review::makeConfig(1), 4, 32'000);

    // Submit a job of eight occurrences, one a second, each of one task.
    const auto firstMs = review::wallMs() + 2'000;
    const nlohmann::json step { { "count", 1 }, { "cpu", 2000 }, { "mem_mb", 1024 }, { "est_duration_ms", 300 } };
    const nlohmann::json body { { "spec", "300" }, { "steps", { step } }, { "repeat_count", occurrences },
        { "first_ms", firstMs }, { "interval_ms", intervalMs } };
    const auto target = std::string(review::queuePrefix) + job;
    if (site.clientUntilAnswered("POST", target, body.dump()).status != ok)
        return 2;
    output.line("the job is accepted; occurrence 0 is due at " + std::to_string(firstMs));

    // Kill all processes of the core just before occurrence 1 is due.
    std::this_thread::sleep_for(std::chrono::milliseconds(firstMs + 900 - review::wallMs()));
    if (!review::isTroubleOff()) {
        for (auto& each : site.control())
            site.kill(each);
        std::this_thread::sleep_for(700ms);
        for (auto& each : site.control())
            site.launch(each, false);
    }

    // The job must have ended `finish_s` after its last occurrence is due.
    const auto lastDueMs = firstMs + (occurrences - 1) * intervalMs;
    std::string state;
    while (review::wallMs() < lastDueMs + review::deployment::finishSeconds * 1'000 && state != "completed") {
        std::this_thread::sleep_for(1s);
        const auto response = site.clientUntilAnswered("GET", target);
        const auto parsed = nlohmann::json::parse(response.body, nullptr, false);
        state = parsed.is_object() ? parsed.value("state", std::string()) : std::string();
    }

    // Every occurrence has its turn by now. One that has not started breaks the rule if nothing runs for three seconds:
    // then all four executors are free, which is capacity for it many times over.
    const auto started = startedOccurrences(site.events());
    for (int number = 0; number < occurrences; ++number)
        output.line(
            "occurrence " + std::to_string(number) + (started.contains(number) ? " has run" : " never started"));
    const bool isMissing = static_cast<int>(started.size()) < occurrences;
    if (state == "completed" && !isMissing) {
        output.line("RESULT: held, the job is completed");
        return 0;
    }
    const auto deadline = std::chrono::steady_clock::now() + idleBound;
    bool isIdle = true;
    while (std::chrono::steady_clock::now() < deadline) {
        for (const auto& each : site.executors())
            isIdle = isIdle && each->runningCount() == 0;
        std::this_thread::sleep_for(10ms);
    }
    isIdle = isIdle && startedOccurrences(site.events()).size() == started.size();
    output.line("state " + state + "; started occurrences: " + std::to_string(started.size()) + " of "
        + std::to_string(occurrences) + "; executors for three seconds: " + (isIdle ? "idle" : "in use"));
    const bool isBroken = state == "running" && isMissing && isIdle;
    output.line(isBroken ? "RESULT: LOST is broken" : "RESULT: undecided");
    return isBroken ? 1 : 2;
}

} // namespace

int main(int count, char** arguments) { return review::runScenario(count, arguments, &run); }
