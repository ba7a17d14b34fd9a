#include "channels/Channels.h"

#include "telemetry/Telemetry.h"

#include <algorithm>

namespace citronspoke::channels {

namespace {

    struct PendingCall {
        explicit PendingCall(EventLoop& loop)
            : timer(loop)
        {
        }

        void finish(std::optional<CallResponse> result)
        {
            if (!handler)
                return;
            const CallHandler finished = std::exchange(handler, nullptr);
            timer.cancel();
            finished(std::move(result));
        }

        /** @return false when the body is too large. */
        bool append(std::string_view bytes)
        {
            std::string& body = response.body;
            const size_t size = body.size() + bytes.size();
            if (size > maxBodyBytes)
                return false;
            if (size > body.capacity())
                body.reserve(std::min(maxBodyBytes, std::max(size, 2 * body.capacity())));
            body.append(bytes);
            return true;
        }

        Timer timer;
        size_t maxBodyBytes = 0;
        CallHandler handler;
        CallResponse response;
        ExchangePointer exchange;
    };

} // namespace

std::shared_ptr<void> call(EventLoop& loop, ConnectionPool& pool, const PeerKey& peer,
    std::string request, const CallLimits& limits, CallHandler handler)
{
    const std::shared_ptr<PendingCall> pending = std::make_shared<PendingCall>(loop);
    pending->handler = std::move(handler);
    pending->maxBodyBytes = limits.bodyBytes;
    const std::weak_ptr<PendingCall> weak = pending;
    Exchange::Handlers handlers;
    handlers.onHead = [weak](const http1::ResponseHead& head) {
        if (const std::shared_ptr<PendingCall> self = weak.lock()) {
            self->response.status = head.status;
            self->response.headers = head.headers;
        }
    };
    handlers.onBody = [weak](std::string_view bytes) {
        const std::shared_ptr<PendingCall> self = weak.lock();
        if (!self)
            return;
        if (self->append(bytes))
            return;
        telemetry::logWarning("calls", "Broke off a response that is too long.",
            { { "limit", std::to_string(self->maxBodyBytes) } });
        telemetry::count("oversized_call_responses");
        self->exchange->cancel();
        self->finish(std::nullopt);
    };
    handlers.onEnd = [weak](ExchangeEnd end) {
        const std::shared_ptr<PendingCall> self = weak.lock();
        if (!self)
            return;
        if (end == ExchangeEnd::Complete)
            self->finish(std::move(self->response));
        else
            self->finish(std::nullopt);
    };
    constexpr Milliseconds AnyIdleAge = Milliseconds::max() / 1000000;
    pending->exchange
        = pool.start(peer, std::move(request), nullptr, AnyIdleAge, std::move(handlers));
    pending->timer.arm(limits.time, [weak] {
        const std::shared_ptr<PendingCall> self = weak.lock();
        if (!self)
            return;
        self->exchange->cancel();
        self->finish(std::nullopt);
    });
    return pending;
}

} // namespace citronspoke::channels
