#include "chervilport/control/poll_limit.h"

#include <criterion/criterion.h>
#include <vector>

using namespace chervilport;

namespace {

/// Records the polls that are sent and answers them on request.
struct fake_poll_client {
    std::vector<std::string> sent;
    std::deque<std::function<void(poll_response)>> pending;

    worker_client client()
    {
        worker_client calls;
        calls.poll = [this](const worker_target& target, const poll_request&, std::function<void(poll_response)> done) {
            sent.push_back(target.id);
            pending.push_back(std::move(done));
        };
        return calls;
    }

    void answerOldest()
    {
        const auto done = std::move(pending.front());
        pending.pop_front();
        done({ { worker_reply::Done, std::nullopt, {} } });
    }
};

worker_target workerAt(int number) { return { "10.0.0.1:80", std::to_string(number) }; }

} // namespace

// Guards against a leader that loses its leadership at once, again and again: it opened 3,000 sessions in one turn of
// its event loop and missed its heartbeats meanwhile (docs/incidents/burst-of-sessions-lost-the-leader.md).
Test(pollLimit, sessionsOfAllWorkersAreOpenedAFewAtATime)
{
    constexpr int workers = 3'000;
    fake_poll_client fake;
    const auto limit = std::make_shared<poll_limit>(fake.client(), maxPendingPolls);
    const auto limited = limit->client();
    int answered = 0;
    for (int i = 0; i < workers; ++i)
        limited.poll(workerAt(i), {}, [&](const poll_response&) { ++answered; });
    cr_assert_eq(fake.pending.size(), maxPendingPolls);
    while (!fake.pending.empty()) {
        fake.answerOldest();
        cr_assert_leq(fake.pending.size(), maxPendingPolls);
    }
    cr_assert_eq(answered, workers);
    for (int i = 0; i < workers; ++i)
        cr_assert_eq(fake.sent[static_cast<std::size_t>(i)], std::to_string(i));
}

// Guards against a lease that runs out because its renewal waits behind the polls of other workers.
Test(pollLimit, renewalsDoNotWait)
{
    fake_poll_client fake;
    const auto limit = std::make_shared<poll_limit>(fake.client(), 1);
    const auto limited = limit->client();
    limited.poll(workerAt(1), {}, [](const poll_response&) {});
    limited.poll(workerAt(2), {}, [](const poll_response&) {});
    poll_request renewal;
    renewal.leaseUntilMs = 1'000;
    limited.poll(workerAt(3), renewal, [](const poll_response&) {});
    cr_assert(fake.sent == std::vector<std::string>({ "1", "3" }));
}

// Guards against a member that still opens thousands of connections after it has lost its leadership.
Test(pollLimit, waitingPollsAreDiscardedWhenTheSessionsAreClosed)
{
    fake_poll_client fake;
    const auto limit = std::make_shared<poll_limit>(fake.client(), 1);
    const auto limited = limit->client();
    int notSent = 0;
    const auto count
        = [&](const poll_response& response) { notSent += response.result.reply == worker_reply::NotSent ? 1 : 0; };
    for (int i = 0; i < 3; ++i)
        limited.poll(workerAt(i), {}, count);
    limit->discardWaiting();
    cr_assert_eq(notSent, 2);
    fake.answerOldest();
    cr_assert_eq(fake.sent.size(), 1);
    cr_assert_eq(notSent, 2);
}
