#include "DeclarationAdoption.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

PreparedDeclaration prepareDeclaration(std::string_view document)
{
    fleet::Declaration declaration = adapter::decodeDeclaration(document);
    PreparedDeclaration prepared;
    if (declaration.organisations)
        prepared.keys
            = std::make_shared<const organisations::KeyDirectory>(*declaration.organisations);
    prepared.routes = std::make_shared<const dispatch::RouteTable>(std::move(declaration));
    return prepared;
}

DeclarationAdoption::DeclarationAdoption(GatewayContext& context, std::function<void()> onAdopted)
    : m_context(context)
    , m_onAdopted(std::move(onAdopted))
{
}

void DeclarationAdoption::offer(std::string document, std::string_view source)
{
    try {
        adopt(prepareDeclaration(document), source);
    } catch (const adapter::DocumentUnreadable& unreadable) {
        telemetry::logError("config", "Kept the declaration; the new one is unreadable.",
            { { "cause", unreadable.describe() } });
    }
}

void DeclarationAdoption::adopt(PreparedDeclaration declaration, std::string_view source)
{
    const ConfigRevision revision = declaration.routes->declaration().revision;
    const ConfigRevision known
        = m_context.routes ? m_context.routes->declaration().revision : ConfigRevision(0);
    // A late or repeated change, or a restored store, must not bring back a declaration that was
    // replaced.
    if (revision <= known) {
        if (revision < known)
            telemetry::logWarning("config", "Kept the declaration; the store has an older one.",
                { { "revision", std::to_string(known.value()) },
                    { "stored", std::to_string(revision.value()) } });
        return;
    }
    m_context.routes = std::move(declaration.routes);
    m_context.keys = std::move(declaration.keys);
    telemetry::logInfo("config", "Adopted a declaration.",
        { { "revision", std::to_string(revision.value()) },
            { "before", std::to_string(known.value()) },
            { "routes", std::to_string(m_context.routes->declaration().routes.size()) },
            { "keys", m_context.keys ? std::to_string(m_context.keys->size()) : "" },
            { "by", std::string(source) } });
    logUnusable();
    m_onAdopted();
}

void DeclarationAdoption::logUnusable() const
{
    constexpr size_t MaxLogLines = 8;
    const fleet::Declaration& declaration = m_context.routes->declaration();
    size_t lines = 0;
    for (const size_t position : declaration.malformedOrganisations) {
        if (++lines > MaxLogLines)
            break;
        telemetry::logWarning("config", "Skipped a malformed organisation.",
            { { "position", std::to_string(position) },
                { "skipped", std::to_string(declaration.malformedOrganisations.size()) } });
    }
    if (!m_context.keys)
        return;
    lines = 0;
    for (const organisations::SharedKey& shared : m_context.keys->sharedKeys()) {
        if (++lines > MaxLogLines)
            break;
        telemetry::logWarning("config", "Two organisations have the same key; it is refused.",
            { { "organisation", shared.first.text() }, { "other", shared.second.text() },
                { "pairs", std::to_string(m_context.keys->sharedKeys().size()) } });
    }
}

} // namespace citronspoke::gateway
