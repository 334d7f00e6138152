#include "chervilport/core/repeating_timer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

namespace chervilport {

/// State that the timer shares with its pending call, so that the call can detect that the timer was stopped or
/// destroyed.
struct repeating_timer::schedule : std::enable_shared_from_this<schedule> {
    schedule(asio::io_context& context, std::chrono::milliseconds callInterval)
        : timer(context)
        , interval(callInterval)
    {
    }

    void wait()
    {
        timer.expires_after(interval);
        timer.async_wait([self = shared_from_this()](const std::error_code& error) {
            if (error || !self->callback)
                return;
            // Copied, because the call may replace or clear the function.
            const auto current = self->callback;
            current();
            if (self->callback)
                self->wait();
        });
    }

    asio::steady_timer timer;
    std::chrono::milliseconds interval;
    /// Empty while the timer is stopped.
    std::function<void()> callback;
};

repeating_timer::repeating_timer(asio::io_context& context, std::chrono::milliseconds interval)
    : m_schedule(std::make_shared<schedule>(context, interval))
{
}

repeating_timer::~repeating_timer() { stop(); }

void repeating_timer::start(std::function<void()> callback)
{
    m_schedule->callback = std::move(callback);
    m_schedule->wait();
}

void repeating_timer::stop()
{
    m_schedule->callback = nullptr;
    m_schedule->timer.cancel();
}

} // namespace chervilport
