#include "DeclarationExchange.h"

#include "Durations.h"
#include "telemetry/Telemetry.h"

#include <charconv>

namespace citronspoke::gateway {

namespace {

    constexpr Milliseconds AskInterval { 500 };
    constexpr size_t MaxDeclarationBytes = size_t { 8 } << 20;
    constexpr uint32_t Ok = 200;
    constexpr uint32_t NoContent = 204;
    /** Milliseconds since the store last responded to the gateway that sends the field. */
    constexpr std::string_view StoreAgeField = "Store-Age-Ms";

    /** @return none unless the whole text is a decimal integer that is not negative. */
    std::optional<int64_t> parseNumber(std::string_view text)
    {
        int64_t number = 0;
        const std::from_chars_result result
            = std::from_chars(text.data(), text.data() + text.size(), number);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size() || number < 0)
            return std::nullopt;
        return number;
    }

} // namespace

DeclarationExchange::DeclarationExchange(GatewayContext& context, PeerGroup& peers,
    DeclarationAdoption& declarations, Milliseconds contactTime)
    : m_context(context)
    , m_peers(peers)
    , m_declarations(declarations)
    , m_contactTime(contactTime)
    , m_timer(context.loop)
{
}

void DeclarationExchange::start()
{
    m_timer.arm(AskInterval, [this] { tick(); });
}

bool DeclarationExchange::needsOthers() const
{
    if (m_context.routes && !m_context.keys)
        return false;
    // The store may have been restored from a copy older than what other gateways have in force, so
    // a gateway that has just started asks one of them also while the store serves it.
    return !m_hasResponse || !m_context.isStoreServing() || m_context.storeAge() > m_contactTime;
}

void DeclarationExchange::tick()
{
    m_timer.arm(AskInterval, [this] { tick(); });
    // Cancels the call of the last interval, so that a suspended gateway is not waited for.
    m_call.reset();
    if (!needsOthers())
        return;
    std::vector<fleet::Address> gateways = m_peers.otherGateways();
    if (gateways.size() > 1 && m_lastAsked)
        std::erase(gateways, *m_lastAsked);
    if (gateways.empty())
        return;
    ask(gateways[std::min(gateways.size() - 1,
        static_cast<size_t>(m_context.randomFraction() * static_cast<double>(gateways.size())))]);
}

void DeclarationExchange::ask(const fleet::Address& gateway)
{
    m_lastAsked = gateway;
    adapter::Call call;
    call.method = "GET";
    call.target = std::string(Path).append("?after=").append(std::to_string(revision().value()));
    const SteadyTime sentAt = steadyNow();
    m_call = channels::call(m_context.loop, m_context.targetConnections, { gateway, {} },
        adapter::composeCall(call, gateway), { AskInterval, MaxDeclarationBytes },
        [this, gateway, sentAt](const std::optional<channels::CallResponse>& response) {
            const std::shared_ptr<void> finished = std::exchange(m_call, nullptr);
            onResponse(gateway, sentAt, response);
        });
}

void DeclarationExchange::onResponse(const fleet::Address& gateway, SteadyTime sentAt,
    const std::optional<channels::CallResponse>& response)
{
    if (!response || (response->status != Ok && response->status != NoContent))
        return;
    const std::optional<int64_t> age
        = parseNumber(response->headers.find(StoreAgeField).value_or(""));
    // Gateways of earlier versions respond with their metrics.
    if (!age)
        return;
    m_hasResponse = m_hasResponse || Milliseconds(*age) <= m_contactTime;
    std::optional<SteadyTime> confirmed;
    if (Milliseconds(*age) <= m_contactTime)
        confirmed = sentAt - Milliseconds(*age);
    const auto confirm = [this, confirmed] {
        if (confirmed)
            m_lastConfirmed = m_lastConfirmed ? std::max(*m_lastConfirmed, *confirmed) : confirmed;
    };
    if (response->status == NoContent) {
        // Without a declaration there is nothing to confirm.
        if (m_context.routes)
            confirm();
        return;
    }
    m_declarations.offer(response->body, "gateway", [this, confirm, gateway] {
        confirm();
        telemetry::logInfo("config", "Fetched the declaration from a gateway.",
            { { "gateway", gateway.text() }, { "revision", std::to_string(revision().value()) },
                { "store_age_ms", millisecondsText(m_context.storeAge()) } });
        telemetry::count("declarations_fetched");
    });
}

channels::StatusServer::Page DeclarationExchange::respond(std::string_view target) const
{
    constexpr std::string_view Query = "?after=";
    target.remove_prefix(std::min(Path.size(), target.size()));
    const std::optional<int64_t> after
        = target.starts_with(Query) ? parseNumber(target.substr(Query.size())) : std::nullopt;
    channels::StatusServer::Page page;
    page.status = NoContent;
    // A gateway without a declaration has nothing to confirm and must not end the search.
    if (m_context.routes)
        page.headers.add(StoreAgeField, millisecondsText(m_context.storeAge()));
    if (after && m_context.keys && ConfigRevision(*after) < revision()) {
        page.status = Ok;
        page.contentType = "application/json";
        page.body = m_declarations.documentWithoutKeys();
    }
    return page;
}

ConfigRevision DeclarationExchange::revision() const
{
    return m_context.routes ? m_context.routes->declaration().revision : ConfigRevision(0);
}

} // namespace citronspoke::gateway
