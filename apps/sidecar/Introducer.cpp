#include "Introducer.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::sidecar {

namespace {

    constexpr Milliseconds ReportInterval { 400 };
    /** The engine is on the same VM and answers in a few milliseconds. */
    constexpr Milliseconds CallLimit { 300 };
    /** By then the store has listed a healthy engine. */
    constexpr Milliseconds IntroductionPeriod { 8000 };
    constexpr uint32_t Ok = 200;

    fleet::Address addressIn(const std::string& text)
    {
        const std::optional<fleet::Address> address = fleet::parseAddress(text);
        require(address.has_value(), "settings hold addresses IP:PORT");
        return *address;
    }

    storefeed::StoreFeed::Options pollOf(std::string_view prefix)
    {
        return { std::string(prefix), storefeed::Polling {} };
    }

} // namespace

Introducer::Introducer(channels::EventLoop& loop, const settings::SidecarSettings& settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_engine(addressIn(settings.engine))
    , m_pool(loop, {})
    , m_declarations(loop, m_pool, addressIn(settings.store), pollOf(adapter::DeclarationPrefix),
          { [this](std::span<const adapter::StoreItem> items, SteadyTime) {
               onDeclaration(items);
           },
              {} })
    , m_gatewayFeed(loop, m_pool, addressIn(settings.store), pollOf(peers::GatewayPrefix),
          { [this](std::span<const adapter::StoreItem> items, SteadyTime) { onGateways(items); },
              {} })
    , m_port(loop, addressIn(settings.operatorAddress), [](std::string_view) { })
    , m_timer(loop)
    , m_startedAt(unixNow())
{
}

void Introducer::start()
{
    m_declarations.start();
    m_gatewayFeed.start();
    askForReport();
}

void Introducer::onDeclaration(std::span<const adapter::StoreItem> items)
{
    for (const adapter::StoreItem& item : items) {
        if (item.key != adapter::DeclarationKey)
            continue;
        try {
            const fleet::Declaration declaration = adapter::decodeDeclaration(item.value);
            if (const fleet::PoolTraits* traits = declaration.pool(m_settings.pool))
                m_traits = *traits;
        } catch (const adapter::DocumentUnreadable& unreadable) {
            telemetry::logWarning("engine", "Skipped a declaration.",
                { { "cause", unreadable.describe() } });
        }
    }
}

void Introducer::onGateways(std::span<const adapter::StoreItem> items)
{
    m_gateways.clear();
    for (const adapter::StoreItem& item : items) {
        if (const std::optional<fleet::Address> address = fleet::parseAddress(item.value))
            m_gateways.push_back(*address);
    }
}

void Introducer::callEngine(const adapter::Call& call,
    void (Introducer::*handler)(const std::optional<channels::CallAnswer>&))
{
    m_call = channels::call(m_loop, m_pool, { m_engine, {} },
        adapter::composeCall(call, m_engine), CallLimit,
        [this, handler](const std::optional<channels::CallAnswer>& answer) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            (this->*handler)(answer);
        });
}

void Introducer::askForReport()
{
    callEngine(adapter::reportCall(), &Introducer::onReport);
}

void Introducer::onReport(const std::optional<channels::CallAnswer>& answer)
{
    m_timer.arm(ReportInterval, [this] { askForReport(); });
    if (!answer || answer->status != Ok) {
        if (m_id)
            telemetry::logWarning("engine", "The engine does not answer.",
                { { "target", m_id->text() } });
        m_id.reset();
        return;
    }
    try {
        m_report = adapter::decodeReport(answer->body);
    } catch (const adapter::DocumentUnreadable& unreadable) {
        telemetry::logWarning("engine", "Unreadable report.", { { "cause", unreadable.describe() } });
        return;
    }
    if (!m_id && m_traits) {
        m_timer.cancel();
        askForHealth();
        return;
    }
    introduce();
}

void Introducer::askForHealth()
{
    callEngine(adapter::healthCall(m_traits->healthPath), &Introducer::onHealth);
}

void Introducer::onHealth(const std::optional<channels::CallAnswer>& answer)
{
    m_timer.arm(ReportInterval, [this] { askForReport(); });
    if (!answer)
        return;
    m_id = adapter::decodeHealth(answer->status, answer->headers);
    if (!m_id)
        return;
    m_introducedSince = steadyNow();
    telemetry::logInfo("engine", "The engine answers.", { { "target", m_id->text() } });
    introduce();
}

void Introducer::introduce()
{
    if (!m_id || !m_report.role || !m_traits || !m_traits->engine
        || steadyNow() - m_introducedSince > IntroductionPeriod)
        return;
    peers::Update update;
    update.sender = EntryId(m_settings.id);
    update.senderStartedAt = m_startedAt;
    update.number = ++m_datagrams;
    fleet::TargetEntry engine;
    engine.id = *m_id;
    engine.pool = m_settings.pool;
    engine.address = m_engine;
    engine.zone = m_settings.zone;
    engine.slots = m_traits->engine->slots;
    engine.role = m_report.role;
    update.introductions.push_back({ engine });
    const std::string datagram = peers::encode(update);
    for (const fleet::Address& gateway : m_gateways)
        m_port.send(gateway, datagram);
}

} // namespace citronspoke::sidecar
