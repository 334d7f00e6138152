#include "tests/control/restarting_worker.h"

#include <algorithm>
#include <utility>

namespace chervilport::control_tests {

namespace {

    /// Reading of the worker's clock, in milliseconds, far from that of the earlier incarnation in either direction.
    std::int64_t clockOf(std::int64_t incarnation) { return incarnation % 2 == 0 ? 100'000 : 300'000; }

} // namespace

worker_client restarting_worker::client()
{
    worker_client calls;
    calls.start
        = [this](const worker_target&, const start_request& request, const std::function<void(worker_result)>& done) {
              m_requests.push_back({ [this, request] { return handleStart(request); },
                  [done](const poll_response& response) { done(response.result); }, true });
          };
    calls.stop
        = [this](const worker_target&, const stop_request& request, const std::function<void(worker_result)>& done) {
              m_requests.push_back({ [this, request] { return handleStop(request); },
                  [done](const poll_response& response) { done(response.result); } });
          };
    calls.poll
        = [this](const worker_target&, const poll_request& request, const std::function<void(poll_response)>& done) {
              m_requests.push_back({ [this, request] { return handlePoll(request); }, done });
          };
    return calls;
}

void restarting_worker::deliver(std::size_t request, bool isResponseLost)
{
    const auto position = m_requests.begin() + static_cast<std::ptrdiff_t>(request);
    const auto delivered = std::move(*position);
    m_requests.erase(position);
    const auto response = delivered.execute();
    if (delivered.done)
        delivered.done(isResponseLost ? poll_response {} : response);
}

void restarting_worker::timeOut(std::size_t request)
{
    if (const auto done = std::exchange(m_requests.at(request).done, nullptr))
        done({});
}

void restarting_worker::finishRun()
{
    if (!m_running.empty())
        endRun(m_running.front(), batch::run_end_kind::Done);
}

void restarting_worker::restart()
{
    if (!startsLateInNextIncarnation)
        std::erase_if(m_requests, [](const pending_request& request) { return request.isStart && !request.done; });
    ++m_incarnation;
    m_fencingToken = 0;
    m_lastEnd = 0;
    m_running.clear();
    m_ended.clear();
    m_lastEnded.clear();
}

poll_response restarting_worker::handleStart(const start_request& request)
{
    if (!acceptToken(request.fencingToken))
        return reply(worker_reply::Fenced);
    const auto ended = m_lastEnded.find(request.run.task);
    if (ended != m_lastEnded.end() && request.run.run <= ended->second)
        return reply(worker_reply::OutdatedRun);
    if (std::find(m_running.begin(), m_running.end(), request.run) == m_running.end())
        m_running.push_back(request.run);
    return reply(worker_reply::Done);
}

poll_response restarting_worker::handleStop(const stop_request& request)
{
    if (!acceptToken(request.fencingToken))
        return reply(worker_reply::Fenced);
    if (std::find(m_running.begin(), m_running.end(), request.run) != m_running.end())
        endRun(request.run, batch::run_end_kind::Stopped);
    auto& last = m_lastEnded[request.run.task];
    last = std::max(last, request.run.run);
    return reply(worker_reply::Done);
}

poll_response restarting_worker::handlePoll(const poll_request& request)
{
    if (!acceptToken(request.fencingToken))
        return reply(worker_reply::Fenced);
    std::erase_if(m_ended, [&](const reported_end& end) {
        const bool isDiscarded = end.number <= request.acknowledgedEnd;
        if (isDiscarded)
            onDiscarded(end);
        return isDiscarded;
    });
    auto response = reply(worker_reply::Done);
    response.incarnation = m_incarnation;
    for (const auto& run : m_running)
        response.running.push_back({ run, {}, 0 });
    response.ended = m_ended;
    response.ended.resize(std::min(m_ended.size(), maxListedEnds));
    response.hasMoreEnds = m_ended.size() >= maxListedEnds;
    return response;
}

poll_response restarting_worker::reply(worker_reply result) const
{
    poll_response response;
    response.result = { result, clockOf(m_incarnation), {} };
    return response;
}

bool restarting_worker::acceptToken(std::uint64_t token)
{
    if (token < m_fencingToken)
        return false;
    m_fencingToken = token;
    return true;
}

void restarting_worker::endRun(const batch::run_ref& run, batch::run_end_kind kind)
{
    std::erase(m_running, run);
    auto& last = m_lastEnded[run.task];
    last = std::max(last, run.run);
    m_ended.push_back({ ++m_lastEnd, run, kind, {} });
}

} // namespace chervilport::control_tests
