#include "control/Control.h"
#include "telemetry/Telemetry.h"

#include <nlohmann/json.hpp>

namespace citronspoke::control {

namespace {

    using nlohmann::json;

    constexpr std::chrono::seconds LeaseTimeToLive { 3 };
    constexpr int MaxWriteAttempts = 3;

    std::string stateKey(const PoolId& pool) { return "control/shards/" + pool.text(); }
    std::string leaseKey(const PoolId& pool) { return "control/leases/" + pool.text(); }

    std::string encode(const ShardState& state)
    {
        json orders = json::object();
        for (const auto& [target, order] : state.orders) {
            orders[target.text()]
                = { { "fencing", order.fencing.value() }, { "sequence", order.sequence.value() },
                      { "role", toText(order.role) }, { "done", order.isDone } };
        }
        return json {
            { "holder", state.holder.text() }, { "fencing", state.fencing.value() },
            { "last_sequence", state.lastSequence.value() }, { "nonce", state.nonce },
            { "orders", orders }
        }.dump();
    }

    ShardState decode(const std::string& text)
    {
        const json object = json::parse(text);
        ShardState state;
        state.holder = EntryId(object.at("holder").get<std::string>());
        state.fencing = FencingNumber(object.at("fencing").get<int64_t>());
        state.lastSequence = OrderSequence(object.at("last_sequence").get<int64_t>());
        state.nonce = object.at("nonce");
        for (const auto& [target, item] : object.at("orders").items()) {
            Order& order = state.orders[TargetId(target)];
            order.fencing = FencingNumber(item.at("fencing").get<int64_t>());
            order.sequence = OrderSequence(item.at("sequence").get<int64_t>());
            order.role = engineRoleFromText(item.at("role").get<std::string>())
                             .value_or(EngineRole::Mixed);
            order.isDone = item.at("done");
        }
        return state;
    }

    std::string orderText(const Order& order)
    {
        return "fencing=" + std::to_string(order.fencing.value()) + " sequence="
            + std::to_string(order.sequence.value()) + " role=" + std::string(toText(order.role));
    }

} // namespace

std::optional<Order> readOrder(
    const platform::Store& store, const PoolId& pool, const TargetId& target)
{
    const std::optional<platform::Entry> entry = store.read(stateKey(pool));
    if (!entry)
        return std::nullopt;
    const ShardState state = decode(entry->value);
    auto found = state.orders.find(target);
    return found == state.orders.end() ? std::nullopt : std::optional<Order>(found->second);
}

ControlShard::ControlShard(const platform::Store& store, PoolId pool, EntryId self)
    : m_store(store)
    , m_pool(std::move(pool))
    , m_self(std::move(self))
{
}

bool ControlShard::tryAcquire()
{
    if (m_store.read(leaseKey(m_pool)))
        return false;
    const std::optional<platform::Entry> entry = m_store.read(stateKey(m_pool));
    ShardState next = entry ? decode(entry->value) : ShardState {};
    m_revision = entry ? entry->revision : platform::AbsentKey;
    next.holder = m_self;
    next.fencing = next.fencing.next();
    m_lease = m_store.grantLease(LeaseTimeToLive);
    failurePoint("control.before_takeover");
    if (!write(std::move(next)))
        return false;
    m_isHeld = true;
    const platform::WriteOutcome outcome = platform::swapWithNonce(
        m_store, leaseKey(m_pool), platform::AbsentKey, m_self.text(), m_lease, MaxWriteAttempts);
    if (!std::holds_alternative<platform::Committed>(outcome)) {
        // Another process holds the lease key. Ownership belongs to whoever swapped the state last.
        release();
        return false;
    }
    telemetry::record(telemetry::EventKind::ShardTakenOver, {}, {},
        m_pool.text() + " fencing=" + std::to_string(m_state.fencing.value()));
    telemetry::count("shards_taken_over");
    return true;
}

bool ControlShard::renew()
{
    if (m_isHeld && !m_store.keepAlive(m_lease))
        m_isHeld = false;
    return m_isHeld;
}

void ControlShard::release() noexcept
{
    if (!m_isHeld)
        return;
    m_isHeld = false;
    m_store.revoke(m_lease);
}

std::optional<Order> ControlShard::issue(const TargetId& target, EngineRole role)
{
    require(m_isHeld, "the shard is held");
    auto lastOrder = m_state.orders.find(target);
    if (lastOrder != m_state.orders.end() && !lastOrder->second.isDone)
        return std::nullopt;
    ShardState next = m_state;
    next.lastSequence = next.lastSequence.next();
    Order order;
    order.fencing = next.fencing;
    order.sequence = next.lastSequence;
    order.role = role;
    next.orders[target] = order;
    failurePoint("control.before_issue");
    if (!write(std::move(next)))
        return std::nullopt;
    failurePoint("control.after_issue");
    telemetry::record(telemetry::EventKind::OrderIssued, {}, target, orderText(order));
    telemetry::count("orders_issued");
    return order;
}

void ControlShard::noteDone(const TargetId& target, FencingNumber fencing, OrderSequence sequence)
{
    require(m_isHeld, "the shard is held");
    auto found = m_state.orders.find(target);
    const bool isOutstanding = found != m_state.orders.end() && !found->second.isDone
        && found->second.fencing == fencing && found->second.sequence == sequence;
    if (!isOutstanding)
        return;
    ShardState next = m_state;
    next.orders[target].isDone = true;
    write(std::move(next));
}

bool ControlShard::write(ShardState next)
{
    next.nonce = randomHex(16);
    const platform::WriteOutcome outcome = platform::swapWithNonce(m_store, stateKey(m_pool),
        m_revision, encode(next), platform::LeaseId(0), MaxWriteAttempts);
    if (std::holds_alternative<platform::OutcomeUnknown>(outcome)) {
        // The next acquisition reads the state again, and with it whether this write took effect.
        m_isHeld = false;
        throw platform::StoreUnavailable("control shard");
    }
    if (std::holds_alternative<platform::Conflict>(outcome)) {
        m_isHeld = false;
        return false;
    }
    m_revision = std::get<platform::Committed>(outcome).revision;
    m_state = std::move(next);
    return true;
}

} // namespace citronspoke::control
