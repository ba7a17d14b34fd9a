#include "DeclarationAdoption.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::gateway {

namespace {

    /** Smaller documents are prepared within a millisecond. */
    constexpr size_t LargeDocumentBytes = 16384;
    constexpr size_t QueuedDocuments = 4;

} // namespace

PreparedDeclaration prepareDeclaration(std::string_view document)
{
    fleet::Declaration declaration = adapter::decodeDeclaration(document);
    PreparedDeclaration prepared;
    if (declaration.organisations)
        prepared.keys
            = std::make_shared<const organisations::KeyDirectory>(*declaration.organisations);
    prepared.documentWithoutKeys = std::make_shared<const std::string>(
        prepared.keys ? adapter::declarationWithoutKeys(document) : std::string(document));
    prepared.routes = std::make_shared<const dispatch::RouteTable>(std::move(declaration));
    return prepared;
}

DeclarationAdoption::DeclarationAdoption(GatewayContext& context, std::function<void()> onAdopted)
    : m_context(context)
    , m_onAdopted(std::move(onAdopted))
    , m_self(std::make_shared<DeclarationAdoption*>(this))
    , m_jobs(QueuedDocuments)
{
}

DeclarationAdoption::~DeclarationAdoption()
{
    m_jobs.close();
    if (m_worker.joinable())
        m_worker.join();
}

void DeclarationAdoption::offer(
    std::string document, std::string_view source, std::function<void()> whenInForce)
{
    const std::shared_ptr<Job> job = std::make_shared<Job>();
    job->document = std::move(document);
    job->source = source;
    job->whenInForce = std::move(whenInForce);
    if (job->document.size() >= LargeDocumentBytes && startWorker()) {
        queue(job);
        return;
    }
    prepare(*job);
    onPrepared(*job);
}

bool DeclarationAdoption::startWorker()
{
    try {
        if (!m_worker.joinable())
            m_worker = std::jthread([this] { runWorker(); });
        return true;
    } catch (const std::system_error& error) {
        telemetry::logWarning("config", "Preparing a large declaration on the event loop's thread.",
            { { "cause", error.what() } });
        return false;
    }
}

void DeclarationAdoption::queue(std::shared_ptr<Job> job)
{
    // Declarations may come faster than they can be prepared; only the newest one matters then.
    m_waiting = std::move(job);
    std::shared_ptr<Job> next = m_waiting;
    if (m_jobs.tryPush(std::move(next)))
        m_waiting.reset();
}

void DeclarationAdoption::runWorker()
{
    constexpr Milliseconds Wait { 1000 };
    std::deque<std::shared_ptr<Job>> jobs;
    while (m_jobs.popAll(jobs, Wait)) {
        for (const std::shared_ptr<Job>& job : jobs) {
            prepare(*job);
            m_context.loop.post([job, self = std::weak_ptr<DeclarationAdoption*>(m_self)] {
                if (const std::shared_ptr<DeclarationAdoption*> adoption = self.lock())
                    (*adoption)->onPrepared(*job);
            });
        }
    }
}

void DeclarationAdoption::prepare(Job& job)
{
    try {
        job.prepared = prepareDeclaration(job.document);
    } catch (const adapter::DocumentUnreadable& unreadable) {
        job.problem = unreadable.describe();
    } catch (const std::exception& exception) {
        telemetry::reportUnexpected("declaration", exception);
        job.problem = exception.what();
    }
}

void DeclarationAdoption::onPrepared(const Job& job)
{
    if (job.prepared) {
        adopt(*job.prepared, job.source);
        job.whenInForce();
    } else {
        telemetry::logError("config", "Kept the declaration; the new one is unreadable.",
            { { "cause", job.problem }, { "by", job.source } });
    }
    if (m_waiting)
        queue(std::exchange(m_waiting, nullptr));
}

std::string DeclarationAdoption::documentWithoutKeys() const
{
    return m_documentWithoutKeys ? *m_documentWithoutKeys : std::string();
}

void DeclarationAdoption::adopt(const PreparedDeclaration& declaration, std::string_view source)
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
                    { "stored", std::to_string(revision.value()) },
                    { "by", std::string(source) } });
        return;
    }
    m_context.routes = declaration.routes;
    m_context.keys = declaration.keys;
    m_documentWithoutKeys = declaration.documentWithoutKeys;
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
