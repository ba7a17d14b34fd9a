#include "Store.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view Alphabet
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr size_t GroupBytes = 3;
    constexpr unsigned SymbolBits = 6;
    constexpr unsigned ByteBits = 8;

    std::string toBase64(std::string_view bytes)
    {
        std::string text;
        for (size_t start = 0; start < bytes.size(); start += GroupBytes) {
            const std::string_view group = bytes.substr(start, GroupBytes);
            uint32_t bits = 0;
            for (size_t index = 0; index < GroupBytes; ++index)
                bits = (bits << ByteBits)
                    | (index < group.size() ? static_cast<unsigned char>(group[index]) : 0U);
            for (size_t index = 0; index <= GroupBytes; ++index)
                text.push_back(index <= group.size()
                        ? Alphabet[(bits >> (SymbolBits * (GroupBytes - index))) & 0x3FU]
                        : '=');
        }
        return text;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string bytes;
        uint32_t bits = 0;
        unsigned count = 0;
        for (const char symbol : text) {
            const size_t value = Alphabet.find(symbol);
            if (value == std::string_view::npos)
                break;
            bits = (bits << SymbolBits) | static_cast<uint32_t>(value);
            count += SymbolBits;
            if (count < ByteBits)
                continue;
            count -= ByteBits;
            bytes.push_back(static_cast<char>((bits >> count) & 0xFFU));
        }
        return bytes;
    }

    /** @return a parameter of the query. The gateways' prefixes need no decoding. */
    std::string parameter(const std::string& target, const std::string& name)
    {
        const size_t found = target.find(name + "=");
        if (found == std::string::npos)
            return {};
        const size_t start = found + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }

} // namespace

Store::Store()
    : m_server(
        [this](const Request& request, Connection& connection) { handle(request, connection); })
{
    m_server.start();
}

void Store::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    apply(key, value, 0);
}

void Store::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    apply(key, std::nullopt, 0);
}

void Store::apply(const std::string& key, const std::optional<std::string>& value, int64_t lease)
{
    const auto known = m_items.find(key);
    if (!value && known == m_items.end())
        return;
    m_revision += 1;
    Change change { m_revision, key, std::nullopt };
    if (value) {
        const int64_t created = known == m_items.end() ? m_revision : known->second.created;
        change.item = Item { *value, m_revision, created, lease };
        m_items[key] = *change.item;
    } else {
        m_items.erase(known);
    }
    m_changes.push_back(std::move(change));
    m_changed.notify_all();
}

void Store::endLeases()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    std::vector<std::string> ended;
    for (const auto& [key, item] : m_items) {
        const auto lease = m_leases.find(item.lease);
        if (item.lease != 0 && (lease == m_leases.end() || lease->second.end < now))
            ended.push_back(key);
    }
    for (const std::string& key : ended)
        apply(key, std::nullopt, 0);
    std::erase_if(m_leases, [now](const auto& item) { return item.second.end < now; });
}

Store::Answer Store::range(const std::string& prefix) const
{
    Json items = Json::array();
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix))
            items.push_back(
                { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
                    { "created", item.created }, { "lease", item.lease } });
    }
    return { 200, Json { { "items", items }, { "hasMore", false }, { "at", m_revision } }.dump() };
}

Store::Answer Store::watch(
    std::unique_lock<std::mutex>& lock, const std::string& prefix, int64_t after, Milliseconds wait)
{
    constexpr Milliseconds LeaseCheck { 50 };
    const SteadyTime end = std::chrono::steady_clock::now() + wait;
    Json events = Json::array();
    while (true) {
        endLeases();
        for (const Change& change : m_changes) {
            if (change.revision <= after || !change.key.starts_with(prefix))
                continue;
            if (change.item)
                events.push_back({ { "key", change.key }, { "value", toBase64(change.item->value) },
                    { "revision", change.revision }, { "created", change.item->created },
                    { "lease", change.item->lease } });
            else
                events.push_back({ { "key", change.key }, { "revision", change.revision },
                    { "deleted", true } });
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end)
            break;
        m_changed.wait_for(lock, LeaseCheck);
    }
    return { 200, Json { { "events", events }, { "at", m_revision } }.dump() };
}

Store::Answer Store::transact(const std::string& body)
{
    const Json call = Json::parse(body);
    for (const Json& row : call.at("precondition")) {
        const auto item = m_items.find(row.at("key").get<std::string>());
        const int64_t revision = item == m_items.end() ? 0 : item->second.revision;
        if (row.at("revision").get<int64_t>() != revision)
            return { 412, R"({"items":[]})" };
    }
    for (const Json& put : call.at("puts")) {
        const int64_t lease = put.value("lease", int64_t { 0 });
        if (lease != 0 && !m_leases.contains(lease))
            return { 404, "{}" };
    }
    for (const Json& put : call.at("puts"))
        apply(put.at("key").get<std::string>(), fromBase64(put.at("value").get<std::string>()),
            put.value("lease", int64_t { 0 }));
    return { 200, Json { { "revision", m_revision } }.dump() };
}

Store::Answer Store::grant(const std::string& body)
{
    const Milliseconds timeToLive(Json::parse(body).at("ttlMs").get<int64_t>());
    m_lastLease += 1;
    m_leases[m_lastLease] = { timeToLive, std::chrono::steady_clock::now() + timeToLive };
    return { 200, Json { { "lease", m_lastLease }, { "ttlMs", timeToLive.count() } }.dump() };
}

Store::Answer Store::renew(int64_t lease)
{
    const auto known = m_leases.find(lease);
    if (known == m_leases.end())
        return { 404, "{}" };
    known->second.end = std::chrono::steady_clock::now() + known->second.timeToLive;
    return { 200,
        Json { { "lease", lease }, { "ttlMs", known->second.timeToLive.count() } }.dump() };
}

void Store::handle(const Request& request, Connection& connection)
{
    const std::string& target = request.target;
    Answer answer { 404, "{}" };
    {
        std::unique_lock lock(m_mutex);
        endLeases();
        if (target.starts_with("/kv-range"))
            answer = range(parameter(target, "pathPrefix"));
        else if (target.starts_with("/kv-watch"))
            answer = watch(lock, parameter(target, "pathPrefix"),
                std::stoll(parameter(target, "after")),
                Milliseconds(std::stoll(parameter(target, "waitMs"))));
        else if (target.starts_with("/kv-txn"))
            answer = transact(request.body);
        else if (target.starts_with("/kv-lease"))
            answer = grant(request.body);
        else if (target.starts_with("/kv-keep/"))
            answer = renew(std::stoll(target.substr(target.rfind('/') + 1)));
    }
    connection.answer(answer.first,
        { { "Content-Type", "application/json" }, { "Store-Era", "1" } }, answer.second);
}

} // namespace review
