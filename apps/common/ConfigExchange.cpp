#include "ConfigExchange.h"

namespace citronspoke {

namespace {

    constexpr Milliseconds PullInterval { 200 };

} // namespace

ConfigExchange::ConfigExchange(control::ConfigHolder& holder, transport::Mailbox& mailbox)
    : m_holder(holder)
    , m_mailbox(mailbox)
{
}

void ConfigExchange::noteRevision(const PeerAddress& peer, ConfigRevision revision)
{
    const bool isBehind = m_holder.revision() < revision;
    if (!isBehind || steadyNow() < m_earliestNextPull)
        return;
    m_earliestNextPull = steadyNow() + PullInterval;
    m_mailbox.send(peer, protocol::ConfigPull { m_mailbox.address(), m_holder.revision() });
}

void ConfigExchange::handle(const protocol::ConfigPull& pull)
{
    const ConfigRevision revision = m_holder.revision();
    if (pull.knownRevision < revision)
        m_mailbox.send(pull.replyTo, protocol::ConfigPush { revision, m_holder.document() });
}

void ConfigExchange::handle(const protocol::ConfigPush& push)
{
    m_holder.adopt(push.revision, push.document);
}

} // namespace citronspoke
