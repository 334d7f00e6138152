#include "chervilport/instance/control_plane.h"

#include "chervilport/instance/control_core.h"
#include "chervilport/instance/monotonic_now.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <thread>
#include <utility>

namespace chervilport {

namespace {

    constexpr std::chrono::milliseconds transferPollInterval { 20 };

} // namespace

struct control_plane::implementation : std::enable_shared_from_this<control_plane::implementation> {
    implementation(const settings& values, metric_registry& metrics, control_plane_hooks hooks)
        : guard(asio::make_work_guard(context))
        , core(std::make_shared<control_core>(context, values, metrics, std::move(hooks)))
    {
    }

    void pollLeadershipTransfer(log_time until, std::function<void()> done);

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::shared_ptr<control_core> core;
    std::thread thread;
};

control_plane::control_plane(const settings& values, metric_registry& metrics, control_plane_hooks hooks)
    : m_implementation(std::make_shared<implementation>(values, metrics, std::move(hooks)))
{
}

control_plane::~control_plane() { stop(); }

void control_plane::start()
{
    m_implementation->core->start();
    m_implementation->thread = std::thread([self = m_implementation] { self->context.run(); });
}

void control_plane::prepareStop(std::chrono::milliseconds timeout, std::function<void()> done)
{
    asio::post(m_implementation->context, [self = m_implementation, timeout, done = std::move(done)]() mutable {
        const bool transfers = self->core->beginLeadershipTransfer();
        self->pollLeadershipTransfer(transfers ? monotonicNow() + timeout : monotonicNow(), std::move(done));
    });
}

void control_plane::stop()
{
    auto& self = *m_implementation;
    if (!self.thread.joinable())
        return;
    asio::post(self.context, [&self] {
        self.core->stopTimers();
        self.guard.reset();
        self.context.stop();
    });
    self.thread.join();
    self.core->stopPeers();
}

void control_plane::handle(
    http_request request, std::chrono::milliseconds remaining, std::function<void(http_response)> reply)
{
    auto call = std::make_shared<control_call>();
    call->request = std::move(request);
    call->deadline = monotonicNow() + remaining;
    call->reply = std::move(reply);
    asio::post(m_implementation->context, [self = m_implementation, call] { self->core->handle(call); });
}

void control_plane::notifyDomain(std::string notice)
{
    asio::post(m_implementation->context,
        [self = m_implementation, notice = std::move(notice)] { self->core->notifyDomain(notice); });
}

void control_plane::notifyLeader(std::string notice)
{
    asio::post(m_implementation->context,
        [self = m_implementation, notice = std::move(notice)] { self->core->notifyLeader(notice); });
}

void control_plane::notifyInstance(std::uint64_t instance, std::string notice)
{
    asio::post(m_implementation->context,
        [self = m_implementation, instance, notice = std::move(notice)] { self->core->notify(instance, notice); });
}

void control_plane::submitClaim(claim_step step, log_duration timeout, std::function<void(claim_store_reply)> done)
{
    asio::post(m_implementation->context,
        [self = m_implementation, step = std::move(step), timeout, done = std::move(done)]() mutable {
            self->core->submitClaim(step, timeout, std::move(done));
        });
}

void control_plane::recordGauges() { m_implementation->core->recordGauges(); }

std::uint64_t control_plane::incarnation() const { return m_implementation->core->incarnation(); }

bool control_plane::isReady() const { return m_implementation->core->isReady(); }

void control_plane::implementation::pollLeadershipTransfer(log_time until, std::function<void()> done)
{
    if (core->leadsNoGroup() || monotonicNow() >= until) {
        done();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context, transferPollInterval);
    timer->async_wait([self = shared_from_this(), until, done = std::move(done), timer](
                          const std::error_code&) mutable { self->pollLeadershipTransfer(until, std::move(done)); });
}

} // namespace chervilport
