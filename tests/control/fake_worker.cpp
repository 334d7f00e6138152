#include "tests/control/fake_worker.h"

#include <algorithm>
#include <asio/post.hpp>

namespace chervilport::control_tests {

namespace {

    worker_reply nextReply(std::deque<worker_reply>& replies)
    {
        if (replies.empty())
            return worker_reply::Done;
        const auto next = replies.front();
        replies.pop_front();
        return next;
    }

    std::optional<std::int64_t> clockIn(const fake_worker& worker, worker_reply reply)
    {
        const bool answered = reply != worker_reply::NoResponse && reply != worker_reply::NotSent;
        return answered ? std::optional(worker.clockMs) : std::nullopt;
    }

} // namespace

fake_worker::fake_worker(asio::io_context& ioContext)
    : context(ioContext)
{
}

void fake_worker::discardEnds(std::uint64_t acknowledged)
{
    std::erase_if(ended, [&](const reported_end& end) { return end.number <= acknowledged; });
}

worker_client fake_worker::client()
{
    worker_client calls;
    calls.start
        = [this](const worker_target&, const start_request& request, const std::function<void(worker_result)>& done) {
              starts.push_back(request);
              const auto reply = nextReply(startReplies);
              const auto respond = [this, reply, done] { done({ reply, clockIn(*this, reply), {} }); };
              if (holdStarts)
                  heldStart = respond;
              else
                  asio::post(context, respond);
          };
    calls.stop
        = [this](const worker_target&, const stop_request& request, const std::function<void(worker_result)>& done) {
              stops.push_back(request);
              const auto reply = nextReply(stopReplies);
              const auto respond = [this, reply, done] { done({ reply, clockIn(*this, reply), {} }); };
              if (holdStops)
                  heldStop = respond;
              else
                  asio::post(context, respond);
          };
    calls.poll
        = [this](const worker_target&, const poll_request& request, const std::function<void(poll_response)>& done) {
              polls.push_back(request);
              const auto reply = nextReply(pollReplies);
              if (reply == worker_reply::Done)
                  discardEnds(request.acknowledgedEnd);
              const auto respond = [this, done](worker_reply result) {
                  poll_response response { { result, clockIn(*this, result), {} }, incarnation, running, ended };
                  response.hasMoreEnds = ended.size() >= maxListedEnds;
                  response.hasUnreadableRows = hasUnreadableRows;
                  response.ended.resize(std::min(ended.size(), maxListedEnds));
                  done(response);
              };
              if (request.wait.count() > 0 && holdPolls)
                  heldPoll = [this, reply, respond] { respond(heldPollReply.value_or(reply)); };
              else
                  asio::post(context, [reply, respond] { respond(reply); });
          };
    return calls;
}

} // namespace chervilport::control_tests
