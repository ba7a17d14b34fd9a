#include "FakeFleetStore.h"

#include <nlohmann/json.hpp>

namespace citronspoke::fakes {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view Alphabet
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string toBase64(std::string_view bytes)
    {
        std::string text;
        for (size_t start = 0; start < bytes.size(); start += 3) {
            const std::string_view group = bytes.substr(start, 3);
            uint32_t bits = 0;
            for (size_t index = 0; index < 3; ++index) {
                bits <<= 8;
                if (index < group.size())
                    bits |= static_cast<unsigned char>(group[index]);
            }
            for (size_t index = 0; index < 4; ++index)
                text.push_back(
                    index <= group.size() ? Alphabet[(bits >> (18 - 6 * index)) & 0x3F] : '=');
        }
        return text;
    }

    std::string fromBase64(const std::string& text)
    {
        std::string bytes;
        uint32_t bits = 0;
        int count = 0;
        for (const char symbol : text) {
            const size_t value = Alphabet.find(symbol);
            if (value == std::string_view::npos)
                break;
            bits = (bits << 6) | static_cast<uint32_t>(value);
            count += 6;
            if (count >= 8) {
                count -= 8;
                bytes.push_back(static_cast<char>((bits >> count) & 0xFF));
            }
        }
        return bytes;
    }

    std::string queryParameter(const std::string& target, const std::string& name)
    {
        const size_t start = target.find(name + "=");
        if (start == std::string::npos)
            return {};
        const size_t value = start + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    void respondJson(
        FakeConnection& connection, uint32_t status, int64_t era, const std::string& body)
    {
        http1::Headers headers;
        headers.add("Content-Type", "application/json");
        headers.add("Store-Era", std::to_string(era));
        connection.answer(status, headers, body);
    }

} // namespace

FakeFleetStore::FakeFleetStore()
    : m_server(std::make_unique<FakeHttpServer>(
        [this](const FakeRequest& request, FakeConnection& connection) {
            handle(request, connection);
        }))
    , m_secondServer(std::make_unique<FakeHttpServer>(
          [this](const FakeRequest& request, FakeConnection& connection) {
              if (m_isRefusingSecond)
                  respondJson(connection, 503, m_era, "{}");
              else
                  handle(request, connection);
          }))
{
}

FakeFleetStore::~FakeFleetStore()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_server.reset();
    m_secondServer.reset();
}

void FakeFleetStore::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    apply(key, value);
}

void FakeFleetStore::remove(const std::string& key)
{
    std::lock_guard lock(m_mutex);
    apply(key, std::nullopt);
}

void FakeFleetStore::dropHistory()
{
    std::lock_guard lock(m_mutex);
    m_contents.oldestRevision = ++m_contents.revision;
    m_contents.changes.clear();
    m_changed.notify_all();
}

std::map<std::string, std::string> FakeFleetStore::contents() const
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, std::string> values;
    for (const auto& [key, item] : m_contents.items)
        values[key] = item.value;
    return values;
}

void FakeFleetStore::endLeases()
{
    std::lock_guard lock(m_mutex);
    while (!m_contents.leases.empty())
        dropLease(m_contents.leases.begin()->first);
}

void FakeFleetStore::dropLease(int64_t lease)
{
    m_contents.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_contents.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        apply(key, std::nullopt);
}

void FakeFleetStore::expireLeases()
{
    std::lock_guard lock(m_mutex);
    std::vector<int64_t> expired;
    for (const auto& [id, lease] : m_contents.leases) {
        if (lease.end <= steadyNow())
            expired.push_back(id);
    }
    for (const int64_t lease : expired)
        dropLease(lease);
}

void FakeFleetStore::apply(
    const std::string& key, const std::optional<std::string>& value, int64_t lease)
{
    m_contents.revision += 1;
    Change change { key, m_contents.revision, std::nullopt };
    if (value) {
        Item& item = m_contents.items[key];
        const int64_t created = item.created == 0 ? m_contents.revision : item.created;
        item = { *value, m_contents.revision, created, lease };
        change.item = item;
    } else {
        m_contents.items.erase(key);
    }
    m_contents.changes.push_back(change);
    m_changed.notify_all();
}

FakeFleetStore::Outcome FakeFleetStore::range(const std::string& prefix)
{
    constexpr uint32_t Ok = 200;
    std::lock_guard lock(m_mutex);
    Json items = Json::array();
    for (const auto& [key, item] : m_contents.items) {
        if (key.starts_with(prefix))
            items.push_back(
                { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
                    { "created", item.created }, { "lease", item.lease } });
    }
    return { Ok, m_era,
        Json { { "items", items }, { "hasMore", false }, { "at", m_contents.revision } }.dump() };
}

std::optional<FakeFleetStore::Outcome> FakeFleetStore::watch(
    const std::string& prefix, int64_t after, Milliseconds wait)
{
    constexpr uint32_t Ok = 200;
    constexpr uint32_t Gone = 410;
    std::unique_lock lock(m_mutex);
    const int64_t era = m_era;
    Json events = Json::array();
    const auto isHistoryLost
        = [&] { return after < m_contents.oldestRevision || after > m_contents.revision; };
    const auto collect = [&] {
        if (m_era != era || m_isStopping)
            return true;
        for (const Change& change : m_contents.changes) {
            if (change.revision <= after || !change.key.starts_with(prefix))
                continue;
            Json event { { "key", change.key }, { "revision", change.revision } };
            if (change.item) {
                event["value"] = toBase64(change.item->value);
                event["created"] = change.item->created;
            } else {
                event["deleted"] = true;
            }
            events.push_back(event);
        }
        return !events.empty() || isHistoryLost();
    };
    m_changed.wait_for(lock, wait, collect);
    if (m_era != era)
        return std::nullopt;
    if (isHistoryLost())
        return Outcome { Gone, era, "{}" };
    return Outcome { Ok, era, Json { { "events", events }, { "at", m_contents.revision } }.dump() };
}

int64_t FakeFleetStore::era() const { return m_era; }

std::shared_ptr<const FakeFleetStore::Copy> FakeFleetStore::copy() const
{
    std::lock_guard lock(m_mutex);
    return std::make_shared<const Copy>(Copy { m_contents });
}

void FakeFleetStore::restore(const Copy& copy)
{
    std::lock_guard lock(m_mutex);
    m_contents = copy.contents;
    for (auto& [id, lease] : m_contents.leases)
        lease.end = steadyNow() + lease.timeToLive;
    m_era += 1;
    m_changed.notify_all();
}

int64_t FakeFleetStore::grantLease(Milliseconds timeToLive)
{
    std::lock_guard lock(m_mutex);
    const int64_t id = ++m_contents.lastLease;
    m_contents.leases[id] = { timeToLive, steadyNow() + timeToLive };
    return id;
}

int64_t FakeFleetStore::leaseOf(const std::string& key) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_contents.items.find(key);
    return found == m_contents.items.end() ? 0 : found->second.lease;
}

void FakeFleetStore::handleWrite(const FakeRequest& request, FakeConnection& connection)
{
    constexpr uint32_t NoSuchLease = 404;
    constexpr uint32_t PreconditionFailed = 412;
    const Json body = Json::parse(request.body);
    std::unique_lock lock(m_mutex);
    for (const Json& put : body["puts"]) {
        const int64_t lease = put.value("lease", 0);
        if (lease != 0 && !m_contents.leases.contains(lease)) {
            respondJson(connection, NoSuchLease, m_era, "{}");
            return;
        }
    }
    for (const Json& row : body["precondition"]) {
        const auto item = m_contents.items.find(row["key"].get<std::string>());
        const int64_t revision = item == m_contents.items.end() ? 0 : item->second.revision;
        if (row["revision"].get<int64_t>() != revision) {
            respondJson(connection, PreconditionFailed, m_era, R"({"items":[]})");
            return;
        }
    }
    for (const Json& put : body["puts"])
        apply(put["key"], fromBase64(put["value"]), put.value("lease", 0));
    const Json response { { "revision", m_contents.revision } };
    const int64_t era = m_era;
    lock.unlock();
    if (m_isLosingResponses)
        connection.reset();
    else
        respondJson(connection, 200, era, response.dump());
}

void FakeFleetStore::handleLease(const FakeRequest& request, FakeConnection& connection)
{
    constexpr std::string_view Keep = "/kv-keep/";
    constexpr uint32_t NoSuchLease = 404;
    std::lock_guard lock(m_mutex);
    int64_t id = 0;
    if (request.head.target.starts_with(Keep)) {
        id = std::stoll(request.head.target.substr(Keep.size()));
        if (!m_contents.leases.contains(id)) {
            respondJson(connection, NoSuchLease, m_era, "{}");
            return;
        }
    } else {
        id = ++m_contents.lastLease;
        m_contents.leases[id].timeToLive
            = Milliseconds(Json::parse(request.body)["ttlMs"].get<int64_t>());
    }
    Lease& lease = m_contents.leases[id];
    lease.end = steadyNow() + lease.timeToLive;
    respondJson(connection, 200, m_era,
        Json { { "lease", id }, { "ttlMs", lease.timeToLive.count() } }.dump());
}

void FakeFleetStore::refuseSecondAddress(bool isRefusing) { m_isRefusingSecond = isRefusing; }

void FakeFleetStore::handle(const FakeRequest& request, FakeConnection& connection)
{
    const std::string& target = request.head.target;
    std::this_thread::sleep_for(m_delay.load());
    const bool isRead = target.starts_with("/kv-range") || target.starts_with("/kv-watch");
    if (m_isRefusing || (m_isRefusingWrites && !isRead)) {
        respondJson(connection, 503, m_era, "{}");
        return;
    }
    expireLeases();
    std::string prefix = queryParameter(target, "pathPrefix");
    if (target.starts_with("/kv-range")) {
        const Outcome outcome = range(prefix);
        respondJson(connection, outcome.status, outcome.era, outcome.body);
    } else if (target.starts_with("/kv-watch")) {
        const std::optional<Outcome> outcome
            = watch(prefix, std::stoll(queryParameter(target, "after")),
                Milliseconds(std::stoll(queryParameter(target, "waitMs"))));
        if (outcome)
            respondJson(connection, outcome->status, outcome->era, outcome->body);
        else
            connection.reset();
    } else if (target.starts_with("/kv-txn")) {
        handleWrite(request, connection);
    } else {
        handleLease(request, connection);
    }
}

} // namespace citronspoke::fakes
