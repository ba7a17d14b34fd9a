#include "control/Control.h"
#include "telemetry/Telemetry.h"

#include <nlohmann/json.hpp>

namespace citronspoke::control {

namespace {

    using nlohmann::json;

    constexpr std::string_view HeadKey = "config/head";
    /** Older changes are dropped from the head. */
    constexpr size_t MaxHeadChanges = 50;
    constexpr int MaxWriteAttempts = 3;

    std::string encode(const ConfigHead& head)
    {
        json changes = json::array();
        for (const ConfigChange& change : head.changes) {
            changes.push_back(
                { { "revision", change.revision.value() }, { "document", change.documentKey },
                    { "author", change.author }, { "message", change.message },
                    { "time", change.time.value() }, { "nonce", change.nonce } });
        }
        return changes.dump();
    }

    ConfigHead decode(const platform::Entry& entry)
    {
        ConfigHead head;
        head.storeRevision = entry.revision;
        for (const json& item : json::parse(entry.value)) {
            ConfigChange change;
            change.revision = ConfigRevision(item.at("revision").get<int64_t>());
            change.documentKey = item.at("document");
            change.author = item.at("author");
            change.message = item.at("message");
            change.time = UnixMillis(item.at("time").get<int64_t>());
            change.nonce = item.at("nonce");
            head.changes.push_back(std::move(change));
        }
        return head;
    }

} // namespace

std::string ConfigConflict::describe() const
{
    return "Revision " + std::to_string(m_revision.value()) + " by " + m_author
        + " was committed in the meantime: \"" + m_message + "\".";
}

ConfigHead readConfigHead(const platform::Store& store)
{
    const std::optional<platform::Entry> entry = store.read(HeadKey);
    return entry ? decode(*entry) : ConfigHead {};
}

std::string readConfigDocument(const platform::Store& store, const ConfigChange& change)
{
    const std::optional<platform::Entry> entry = store.read(change.documentKey);
    if (!entry)
        throw platform::StoreUnavailable("configuration document");
    return entry->value;
}

ConfigRevision commitConfig(const platform::Store& store, const ConfigHead& base,
    std::string_view document, std::string_view author, std::string_view message)
{
    ConfigChange change;
    change.revision = base.revision().next();
    change.nonce = randomHex(16);
    change.documentKey
        = "config/documents/" + std::to_string(change.revision.value()) + "-" + change.nonce;
    change.author = author;
    change.message = message;
    change.time = unixNow();
    const platform::WriteOutcome documentOutcome = platform::swapWithNonce(store,
        change.documentKey, platform::AbsentKey, document, platform::LeaseId(0), MaxWriteAttempts);
    if (!std::holds_alternative<platform::Committed>(documentOutcome))
        throw platform::StoreUnavailable("configuration document");
    failurePoint("config.before_head");
    ConfigHead next = base;
    next.changes.insert(next.changes.begin(), change);
    if (next.changes.size() > MaxHeadChanges)
        next.changes.resize(MaxHeadChanges);
    const platform::WriteOutcome outcome = platform::swapWithNonce(
        store, HeadKey, base.storeRevision, encode(next), platform::LeaseId(0), MaxWriteAttempts);
    if (std::holds_alternative<platform::OutcomeUnknown>(outcome))
        throw platform::StoreUnavailable("configuration head");
    if (std::holds_alternative<platform::Committed>(outcome))
        return change.revision;
    // The swap may have succeeded and a later commit may have replaced the head since. Then the
    // history contains this change.
    const ConfigHead head = readConfigHead(store);
    for (const ConfigChange& other : head.changes) {
        if (other.nonce == change.nonce)
            return change.revision;
    }
    const ConfigChange& newest = head.changes.at(0);
    throw ConfigConflict(newest.revision, newest.author, newest.message);
}

settings::DeploymentPointer ConfigHolder::current() const
{
    std::lock_guard lock(m_mutex);
    return m_current;
}

ConfigRevision ConfigHolder::revision() const
{
    std::lock_guard lock(m_mutex);
    return m_current ? m_current->revision : ConfigRevision(0);
}

std::string ConfigHolder::document() const
{
    std::lock_guard lock(m_mutex);
    return m_document;
}

bool ConfigHolder::adopt(ConfigRevision revision, std::string_view document)
{
    if (revision <= this->revision())
        return false;
    std::shared_ptr<settings::Deployment> next;
    try {
        const std::vector<settings::SourceFile> files = settings::fromDocument(document);
        next = std::make_shared<settings::Deployment>(settings::parseDeployment(files));
    } catch (const settings::SettingsInvalid& error) {
        telemetry::logError(
            "config", "Rejected an invalid configuration.", { { "why", error.describe() } });
        return false;
    }
    next->revision = revision;
    std::vector<std::function<void()>> listeners;
    {
        std::lock_guard lock(m_mutex);
        if (m_current && revision <= m_current->revision)
            return false;
        m_current = std::move(next);
        m_document = document;
        listeners = m_listeners;
    }
    const std::string text = std::to_string(revision.value());
    telemetry::record(telemetry::EventKind::ConfigAdopted, {}, {}, "revision " + text);
    telemetry::gauge("config_revision", static_cast<double>(revision.value()));
    telemetry::logInfo("config", "Adopted a configuration.", { { "revision", text } });
    for (const std::function<void()>& listener : listeners)
        listener();
    return true;
}

void ConfigHolder::onAdopted(std::function<void()> listener)
{
    std::lock_guard lock(m_mutex);
    m_listeners.push_back(std::move(listener));
}

ConfigHead refreshConfig(const platform::Store& store, ConfigHolder& holder)
{
    ConfigHead head = readConfigHead(store);
    if (head.revision() > holder.revision())
        holder.adopt(head.revision(), readConfigDocument(store, head.changes.front()));
    return head;
}

} // namespace citronspoke::control
