#include "channels/Channels.h"

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

        Timer timer;
        CallHandler handler;
        CallResponse response;
        ExchangePointer exchange;
    };

    /** A page of the store has about 1 MB. */
    constexpr size_t MaxBodyBytes = size_t { 8 } << 20;

} // namespace

std::shared_ptr<void> call(EventLoop& loop, ConnectionPool& pool, const PeerKey& peer,
    std::string request, Milliseconds limit, CallHandler handler)
{
    const std::shared_ptr<PendingCall> pending = std::make_shared<PendingCall>(loop);
    pending->handler = std::move(handler);
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
        self->response.body.append(bytes);
        if (self->response.body.size() > MaxBodyBytes) {
            self->exchange->cancel();
            self->finish(std::nullopt);
        }
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
    pending->timer.arm(limit, [weak] {
        const std::shared_ptr<PendingCall> self = weak.lock();
        if (!self)
            return;
        self->exchange->cancel();
        self->finish(std::nullopt);
    });
    return pending;
}

} // namespace citronspoke::channels
