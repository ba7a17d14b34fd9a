#pragma once

#include "Responses.h"
#include "control/Control.h"

namespace citronspoke::entry {

/** A caller's request was rejected while it was parsed and checked. */
class BadRequest final : public Error {
public:
    explicit BadRequest(RefusalReason reason, std::string detail = {})
        : m_reason(reason)
        , m_detail(std::move(detail))
    {
    }
    std::string_view kind() const noexcept override { return toText(m_reason); }
    std::string describe() const override { return m_detail; }
    RefusalReason reason() const noexcept { return m_reason; }

private:
    RefusalReason m_reason;
    std::string m_detail;
};

/**
 * Parses callers' HTTP requests and checks them against the configuration. What needs no target is
 * answered here; the rest goes to the hooks.
 */
class CallerApi {
public:
    /** Called by the HTTP server's threads. */
    struct Hooks {
        std::function<void(CallerRequest)> onRequest;
        std::function<void(AttachRequest)> onAttach;
        std::function<bool()> isLeaving;
    };

    CallerApi(const control::ConfigHolder& config, EntryId self, PeerAddress mailbox, Hooks hooks);

    /** Called by the HTTP server's threads. Rejected requests get an error response. */
    void handle(const transport::HttpExchangePointer& exchange) const;

private:
    void route(const transport::HttpExchangePointer& exchange) const;
    CallerRequest parseCompletion(const transport::HttpExchangePointer& exchange,
        const settings::DeploymentPointer& deployment,
        const settings::Organisation& organisation) const;
    CallerRequest parseServiceCall(const transport::HttpExchangePointer& exchange,
        const settings::DeploymentPointer& deployment,
        const settings::Organisation& organisation) const;
    /** Fills in what all kinds of requests have in common. */
    CallerRequest begin(const transport::HttpExchangePointer& exchange,
        const settings::DeploymentPointer& deployment,
        const settings::Organisation& organisation) const;

    const control::ConfigHolder& m_config;
    EntryId m_self;
    PeerAddress m_mailbox;
    Hooks m_hooks;
};

} // namespace citronspoke::entry
