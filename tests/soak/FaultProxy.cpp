#include "FaultProxy.h"

namespace citronspoke::soak {

/** One direction of a connection. */
struct FaultProxy::Pipe {
    explicit Pipe(channels::EventLoop& loop)
        : timer(loop)
    {
    }

    void carry(std::string_view bytes, Milliseconds delay, bool holds)
    {
        held.append(bytes);
        isHolding = holds;
        if (!holds && delay == Milliseconds(0) && !isArmed)
            flush();
        else if (!holds && !isArmed)
            flushLater(delay);
    }

    void flushLater(Milliseconds delay)
    {
        isArmed = true;
        timer.arm(delay, [this] {
            isArmed = false;
            if (!isHolding)
                flush();
        });
    }

    void flush()
    {
        if (!held.empty())
            out->write(std::exchange(held, {}));
        if (isEnded)
            out->closeAfterWrites();
    }

    channels::ConnectionPointer out;
    std::string held;
    channels::Timer timer;
    bool isArmed = false;
    bool isHolding = false;
    bool isEnded = false;
};

struct FaultProxy::Carried {
    explicit Carried(channels::EventLoop& loop)
        : requests(loop)
        , answers(loop)
    {
    }

    void reset() const
    {
        requests.out->close();
        answers.out->close();
    }

    Pipe requests;
    Pipe answers;
};

FaultProxy::FaultProxy(
    channels::EventLoop& loop, const fleet::Address& own, const fleet::Address& server)
    : m_loop(loop)
    , m_own(own)
    , m_server(server)
    , m_listener(std::make_unique<channels::Listener>(
          loop, own, [this](const channels::ConnectionPointer& caller) { accept(caller); }))
{
}

void FaultProxy::moveTo(const fleet::Address& server)
{
    m_loop.post([this, server] { m_server = server; });
}

void FaultProxy::harm(const LinkHarm& harm)
{
    m_loop.post([this, harm] {
        m_harm = harm;
        for (const std::shared_ptr<Carried>& carried : m_carried) {
            carried->requests.isHolding = harm.holdsRequests;
            carried->answers.isHolding = harm.holdsAnswers;
            if (!harm.holdsRequests)
                carried->requests.flush();
            if (!harm.holdsAnswers)
                carried->answers.flush();
        }
    });
}

void FaultProxy::resetConnections()
{
    m_loop.post([this] {
        for (const std::shared_ptr<Carried>& carried : m_carried)
            carried->reset();
        m_carried.clear();
    });
}

void FaultProxy::accept(const channels::ConnectionPointer& caller)
{
    constexpr Milliseconds ConnectLimit { 1000 };
    const std::shared_ptr<Carried> carried = std::make_shared<Carried>(m_loop);
    carried->answers.out = caller;
    carried->requests.out = channels::connect(m_loop, m_server, ConnectLimit);
    m_carried.insert(carried);
    const std::weak_ptr<Carried> weak = carried;
    const auto endOf = [this, weak](Pipe Carried::*pipe) {
        return [this, weak, pipe](channels::ConnectionEnd end) {
            const std::shared_ptr<Carried> self = weak.lock();
            if (!self)
                return;
            if (end == channels::ConnectionEnd::ClosedByPeer) {
                Pipe& rest = (*self).*pipe;
                rest.isEnded = true;
                if (!rest.isHolding && !rest.isArmed)
                    rest.flush();
                return;
            }
            self->reset();
            m_carried.erase(self);
        };
    };
    caller->start({ {},
        [this, weak](std::string_view bytes) {
            if (const std::shared_ptr<Carried> self = weak.lock())
                self->requests.carry(bytes, m_harm.delay, m_harm.holdsRequests);
        },
        endOf(&Carried::requests) });
    carried->requests.out->start({ {},
        [this, weak](std::string_view bytes) {
            if (const std::shared_ptr<Carried> self = weak.lock())
                self->answers.carry(bytes, m_harm.delay, m_harm.holdsAnswers);
        },
        endOf(&Carried::answers) });
}

} // namespace citronspoke::soak
