#pragma once

#include "Responses.h"
#include "control/Control.h"

namespace citronspoke::entry {

/** A request that cannot be served, as found while it is read. */
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

/** Reads callers' HTTP requests and checks them against the configuration. */
class CallerApi {
public:
    struct Hooks {
        std::function<void(CallerRequest)> onRequest;
        std::function<void(AttachRequest)> onAttach;
        std::function<bool()> isLeaving;
    };

    CallerApi(const control::ConfigHolder& config, EntryId self, PeerAddress mailbox, Hooks hooks);

    /** Called by the HTTP server's threads. */
    void handle(const transport::HttpExchangePointer& exchange) const;

private:
    void route(const transport::HttpExchangePointer& exchange) const;
    CallerRequest parseCompletion(const transport::HttpExchangePointer& exchange,
        const settings::DeploymentPointer& deployment,
        const settings::Organisation& organisation) const;
    CallerRequest parseServiceCall(const transport::HttpExchangePointer& exchange,
        const settings::DeploymentPointer& deployment,
        const settings::Organisation& organisation) const;
    CallerRequest begin(const transport::HttpExchangePointer& exchange,
        const settings::DeploymentPointer& deployment,
        const settings::Organisation& organisation) const;

    const control::ConfigHolder& m_config;
    EntryId m_self;
    PeerAddress m_mailbox;
    Hooks m_hooks;
};

} // namespace citronspoke::entry
