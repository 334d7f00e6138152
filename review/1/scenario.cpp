// A planned restart of the control machines in turn, in a deployment of 150 entry machines. Usage: scenario RECORD

#include "review/standin/deployment.h"

#include <thread>

namespace {

using namespace std::chrono_literals;

constexpr int ok = 200;
constexpr std::size_t entryMachines = 150;
constexpr int jobs = 5;
/// Time between the end of a control machine and its next start, and from then on to the next machine's turn. A machine
/// counts as lost for `catch_up_s`, 4 s, after it is back.
constexpr auto restartDelay = 1s;
constexpr auto restartInterval = 8s;
/// Time for which the clients ask for their jobs in the end.
constexpr auto askingTime = 20s;

std::string targetOf(int number)
{
    return std::string(review::queuePrefix) + "5c0e7a21d94b36f" + std::to_string(number);
}

/// Submits a job at one of the machines that are in rotation.
bool submit(review::deployment& site, const std::string& target, const std::vector<std::size_t>& inRotation)
{
    const nlohmann::json step { { "count", 1 }, { "cpu", 2000 }, { "mem_mb", 1024 }, { "est_duration_ms", 500 } };
    const auto body = nlohmann::json { { "spec", "500" }, { "steps", { step } } }.dump();
    std::size_t attempt = 0;
    return review::waitUntil(10s, [&] {
        const auto entry = inRotation[(attempt++ * 7) % inRotation.size()];
        return site.client(entry, "POST", target, body).status == ok;
    });
}

/// Asks for the job at one entry machine after another, at those in rotation first; returns whether one answers 200.
bool isAnswered(review::deployment& site, const std::string& target, std::chrono::milliseconds time)
{
    const auto inRotation = site.readyEntries();
    std::size_t attempt = 0;
    return review::waitUntil(time, [&] {
        const auto number = attempt++;
        const auto entry = number < inRotation.size() ? inRotation[number] : number % site.entries().size();
        return site.client(entry, "GET", target).status == ok;
    });
}

int run(review::record& output)
{
    review::deployment site(output, entryMachines);
    site.begin(review::makeConfig(1), 4, 32'000);
    const auto inRotation = site.readyEntries();
    for (int i = 0; i < jobs; ++i) {
        if (!submit(site, targetOf(i), inRotation))
            return 2;
    }
    if (!isAnswered(site, targetOf(0), 5s))
        return 2;

    // Stop and start the control machines in turn, those that do not lead first.
    auto* const leader = site.leader();
    if (leader == nullptr)
        return 2;
    for (auto& each : site.control()) {
        if (review::isTroubleOff() || &each == leader)
            continue;
        site.terminate(each);
        std::this_thread::sleep_for(restartDelay);
        site.launch(each, false);
        std::this_thread::sleep_for(restartInterval);
        output.line("entry machines in rotation: " + std::to_string(site.readyEntries().size()) + " of "
            + std::to_string(entryMachines));
    }

    // All machines are up. Ask for the jobs `finish_s` after the end of the traffic, and `recovery_s` after the
    // restarts.
    std::this_thread::sleep_for(std::chrono::seconds(review::deployment::finishSeconds));
    int unanswered = 0;
    for (int i = 0; i < jobs; ++i) {
        const bool isKnown = isAnswered(site, targetOf(i), unanswered == 0 ? askingTime : 2s);
        output.line("job " + std::to_string(i) + (isKnown ? " is answered" : " gets no answer"));
        unanswered += isKnown ? 0 : 1;
    }
    const auto* const last = site.leader();
    output.line("leader: " + (last == nullptr ? std::string("none") : last->name));
    output.line(unanswered > 0 ? "RESULT: LOST is broken" : "RESULT: held");
    return unanswered > 0 ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) { return review::runScenario(count, arguments, &run); }
