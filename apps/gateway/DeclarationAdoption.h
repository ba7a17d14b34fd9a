#pragma once

#include "GatewayContext.h"

namespace citronspoke::gateway {

/** A declaration with what is built from it before it is adopted. */
struct PreparedDeclaration {
    std::shared_ptr<const dispatch::RouteTable> routes;
    /** Null where the declaration has no organisations. */
    std::shared_ptr<const organisations::KeyDirectory> keys;
};

/** @throws adapter::DocumentUnreadable */
PreparedDeclaration prepareDeclaration(std::string_view document);

/**
 * Puts declarations into force, only in the order of their revisions, wherever they come from. Used
 * by the event loop's thread only.
 */
class DeclarationAdoption {
public:
    /** @param onAdopted called after each change of the declaration in force. */
    DeclarationAdoption(GatewayContext& context, std::function<void()> onAdopted);

    /** @param source how the document was received, for the log. */
    void offer(std::string document, std::string_view source);

private:
    void adopt(PreparedDeclaration declaration, std::string_view source);
    /** Logs the organisations and keys of the declaration in force that are not used. */
    void logUnusable() const;

    GatewayContext& m_context;
    std::function<void()> m_onAdopted;
};

} // namespace citronspoke::gateway
