#include "EventLoopImplementation.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::channels {

void EventLoop::Implementation::waitForSignal()
{
    signals->async_wait([this](const asio::error_code& error, int signal) {
        if (error)
            return;
        waitForSignal();
        signalHandler(signal);
    });
}

EventLoop::EventLoop()
    : m_implementation(std::make_unique<Implementation>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    // The callback that threw has ended; the others are still queued.
    while (!m_implementation->context.stopped()) {
        try {
            m_implementation->context.run();
        } catch (const std::exception& exception) {
            telemetry::reportUnexpected("callback", exception);
        }
    }
}

void EventLoop::restart() { m_implementation->context.restart(); }

void EventLoop::stop() { m_implementation->context.stop(); }

void EventLoop::post(std::function<void()> task)
{
    asio::post(m_implementation->context, std::move(task));
}

void EventLoop::onSignals(std::span<const int> signals, std::function<void(int)> handler)
{
    m_implementation->signals = std::make_unique<asio::signal_set>(m_implementation->context);
    for (const int signal : signals)
        m_implementation->signals->add(signal);
    m_implementation->signalHandler = std::move(handler);
    m_implementation->waitForSignal();
}

struct Timer::Implementation {
    explicit Implementation(asio::io_context& context)
        : timer(context)
    {
    }
    asio::steady_timer timer;
    /** Tells a current callback from one that was queued before the timer was armed again. */
    uint64_t generation = 0;
};

Timer::Timer(EventLoop& loop)
    : m_implementation(std::make_shared<Implementation>(loop.implementation().context))
{
}

Timer::~Timer() { cancel(); }

void Timer::arm(Milliseconds delay, std::function<void()> callback)
{
    m_implementation->generation += 1;
    m_implementation->timer.expires_after(std::max(delay, Milliseconds(0)));
    m_implementation->timer.async_wait(
        [state = m_implementation, generation = m_implementation->generation,
            callback = std::move(callback)](const asio::error_code& error) {
            if (!error && state->generation == generation)
                callback();
        });
}

void Timer::cancel()
{
    m_implementation->generation += 1;
    m_implementation->timer.cancel();
}

} // namespace citronspoke::channels
