#include "OriginHolder.h"
#include "PortPicker.h"

#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace citronspoke;
using namespace citronspoke::sidecar;

namespace {

streams::OriginRecord record(const std::string& version)
{
    return { SoftwareVersion(version), PoolId("llm") };
}

/** A holder, and the port of a gateway that asks it. */
class HolderFixture {
public:
    HolderFixture()
        : m_gateway { "127.0.0.1", m_ports.pick() }
        , m_gatewayPort(m_loop, m_gateway,
              [this](std::string_view datagram) {
                  m_reply.set_value(std::get<streams::OriginReply>(peers::decodeMessage(datagram)));
              })
        , m_port(m_loop, { "127.0.0.1", m_ports.pick() }, [](std::string_view) {})
        , m_holder(m_port, EntryId("side-1"))
        , m_thread([this] { m_loop.run(); })
    {
    }
    ~HolderFixture() { m_loop.stop(); }
    HolderFixture(const HolderFixture&) = delete;
    HolderFixture& operator=(const HolderFixture&) = delete;

    void note(const std::string& attempt, const std::string& version)
    {
        m_loop.post([this, attempt, version] {
            m_holder.onBatch({ { { RequestId(attempt), record(version) } } });
        });
    }
    std::optional<streams::OriginRecord> ask(const std::string& attempt)
    {
        m_reply = {};
        m_loop.post([this, attempt] {
            m_holder.onQuery({ 7, RequestId(attempt), { PoolId("llm") }, m_gateway });
        });
        const streams::OriginReply reply = m_reply.get_future().get();
        cr_assert(reply.number == 7 && reply.attempt == RequestId(attempt));
        cr_assert(reply.gateway == EntryId("side-1"));
        cr_assert(reply.view.versions.empty() && !reply.view.coversWindow);
        return reply.origin;
    }

private:
    localfleet::PortPicker m_ports;
    channels::EventLoop m_loop;
    std::promise<streams::OriginReply> m_reply;
    fleet::Address m_gateway;
    channels::DatagramPort m_gatewayPort;
    channels::DatagramPort m_port;
    OriginHolder m_holder;
    std::jthread m_thread;
};

} // namespace

Test(origin_holder, replies_with_the_origins_that_it_holds)
{
    HolderFixture fixture;
    fixture.note("a1", "v1");
    fixture.note("a2", "v2");
    cr_assert(fixture.ask("a2") == record("v2"));
    cr_assert(fixture.ask("a1") == record("v1"));
    cr_assert_not(fixture.ask("a3").has_value());
}

// Guards against memory that grows with what gateways send.
Test(origin_holder, keeps_a_bounded_number_of_origins)
{
    constexpr int Sent = 50000;
    HolderFixture fixture;
    fixture.note(std::string(1000, 'x'), "v1");
    cr_assert_not(fixture.ask(std::string(1000, 'x')).has_value());
    for (int number = 0; number < Sent; ++number)
        fixture.note("a" + std::to_string(number), "v1");
    cr_assert_not(fixture.ask("a0").has_value());
    cr_assert(fixture.ask("a" + std::to_string(Sent - 1)).has_value());
}
