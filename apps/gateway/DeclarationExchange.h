#pragma once

#include "DeclarationAdoption.h"
#include "PeerGroup.h"

namespace citronspoke::gateway {

/**
 * Keeps the declaration with its organisations current at gateways that the store does not serve:
 * these ask other gateways for it. The document that gateways send each other has digests in place
 * of the keys. Used by the event loop's thread only.
 */
class DeclarationExchange {
public:
    /** The path that gateways are asked at, without its query. */
    static constexpr std::string_view Path = "/declaration";

    /**
     * @param contactTime longest time between two responses of the store to a gateway that it
     *        serves.
     */
    DeclarationExchange(GatewayContext& context, PeerGroup& peers,
        DeclarationAdoption& declarations, Milliseconds contactTime);

    void start();
    /** @return the response to another gateway. @param target the path with its query. */
    channels::StatusServer::Page respond(std::string_view target) const;
    /** @return when the store, as far as other gateways have reported, last confirmed the
     * declaration in force; none before the first report. */
    std::optional<SteadyTime> lastConfirmed() const noexcept { return m_lastConfirmed; }
    /** The store was restored from an older copy; other gateways may have a newer declaration. */
    void noteRestored() noexcept { m_hasResponse = false; }

private:
    bool needsOthers() const;
    void tick();
    void ask(const fleet::Address& gateway);
    void onResponse(const fleet::Address& gateway, SteadyTime sentAt,
        const std::optional<channels::CallResponse>& response);
    ConfigRevision revision() const;

    GatewayContext& m_context;
    PeerGroup& m_peers;
    DeclarationAdoption& m_declarations;
    Milliseconds m_contactTime;
    channels::Timer m_timer;
    std::shared_ptr<void> m_call;
    std::optional<fleet::Address> m_lastAsked;
    std::optional<SteadyTime> m_lastConfirmed;
    /** A gateway in contact with the store has responded since this one started, and since the
     * last restore of the store. */
    bool m_hasResponse = false;
};

} // namespace citronspoke::gateway
