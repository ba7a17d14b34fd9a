#pragma once

#include "GatewayContext.h"

#include <thread>

namespace citronspoke::gateway {

/** A declaration with what is built from it before it is adopted. */
struct PreparedDeclaration {
    std::shared_ptr<const dispatch::RouteTable> routes;
    /** Null where the declaration has no organisations. */
    std::shared_ptr<const organisations::KeyDirectory> keys;
    /** The document for other gateways. */
    std::shared_ptr<const std::string> documentWithoutKeys;
};

/** May be called on any thread. @throws adapter::DocumentUnreadable */
PreparedDeclaration prepareDeclaration(std::string_view document);

/**
 * Puts declarations into force, only in the order of their revisions, wherever they come from.
 * Large ones are prepared on a thread of their own, because that takes longer than the event loop
 * may be blocked. Used by the event loop's thread only.
 */
class DeclarationAdoption {
public:
    /** @param onAdopted called after each change of the declaration in force. */
    DeclarationAdoption(GatewayContext& context, std::function<void()> onAdopted);
    ~DeclarationAdoption();
    DeclarationAdoption(const DeclarationAdoption&) = delete;
    DeclarationAdoption& operator=(const DeclarationAdoption&) = delete;

    /**
     * @param source how the document was received, for the log.
     * @param whenInForce called once this declaration or a newer one is in force; never when it
     *        is unreadable.
     */
    void offer(
        std::string document, std::string_view source, std::function<void()> whenInForce = [] {});
    /** @return the declaration in force, with digests in place of the keys; empty for none. */
    std::string documentWithoutKeys() const;

private:
    struct Job {
        std::string document;
        std::string source;
        std::function<void()> whenInForce;
        /** Set once it is prepared; none when it is unreadable. */
        std::optional<PreparedDeclaration> prepared;
        std::string problem;
    };

    static void prepare(Job& job);
    /** @return whether the worker runs; the system may allow no further thread. */
    bool startWorker();
    void queue(std::shared_ptr<Job> job);
    void runWorker();
    void onPrepared(const Job& job);
    void adopt(const PreparedDeclaration& declaration, std::string_view source);
    /** Logs the organisations and keys of the declaration in force that are not used. */
    void logUnusable() const;

    GatewayContext& m_context;
    std::function<void()> m_onAdopted;
    std::shared_ptr<const std::string> m_documentWithoutKeys;
    /** Queued as soon as the worker has finished another one; none while there is room. */
    std::shared_ptr<Job> m_waiting;
    /** Lets the tasks that the worker has posted see whether this object still exists. */
    std::shared_ptr<DeclarationAdoption*> m_self;
    BoundedQueue<std::shared_ptr<Job>> m_jobs;
    /** Started with the first large declaration. */
    std::jthread m_worker;
};

} // namespace citronspoke::gateway
