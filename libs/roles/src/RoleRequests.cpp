#include "roles/Roles.h"

#include <algorithm>

namespace citronspoke::roles {

namespace {

    /** Enough that a frozen or cut gateway among them does not decide. */
    constexpr size_t MaxPlanners = 5;
    /** Gateways repeat a request several times within this time while they want the change. */
    constexpr Milliseconds RequestLifetime { 900 };
    /** Gateways learn the end of a change that they requested. */
    constexpr Milliseconds ReplyLifetime { 15000 };

} // namespace

std::vector<EntryId> plannersOf(const TargetId& engine, std::span<const EntryId> gateways)
{
    return firstByRendezvousRank(gateways, engine.text(), MaxPlanners);
}

void RequestQuorum::add(const RoleRequest& request, SteadyTime now)
{
    std::erase_if(
        m_requests, [now](const auto& item) { return now - item.second.at > ReplyLifetime; });
    m_requests[request.gateway] = { request, now };
}

std::optional<RoleChange> RequestQuorum::agreedChange(SteadyTime now) const
{
    for (const auto& [gateway, received] : m_requests) {
        uint32_t votes = 0;
        for (const auto& [other, vote] : m_requests) {
            if (now - vote.at <= RequestLifetime && vote.request.change == received.request.change)
                votes += 1;
        }
        if (votes * 2 >= received.request.planners && votes > 0)
            return received.request.change;
    }
    return std::nullopt;
}

std::vector<fleet::Address> RequestQuorum::replyAddresses(SteadyTime now) const
{
    std::vector<fleet::Address> addresses;
    for (const auto& [gateway, received] : m_requests) {
        if (now - received.at <= ReplyLifetime)
            addresses.push_back(received.request.replyTo);
    }
    return addresses;
}

FencingNumber nextFencingNumber(const fleet::EngineReport& report)
{
    // Start times are milliseconds since 1970; the product stays exact in a double.
    constexpr int64_t MaxOrdersOfAnIncarnation = 1024;
    return FencingNumber(report.startedAt.value() * MaxOrdersOfAnIncarnation
        + std::min(report.acceptedOrders.value() + 1, MaxOrdersOfAnIncarnation - 1));
}

} // namespace citronspoke::roles
