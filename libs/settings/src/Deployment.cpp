#include "Schema.h"

#include <algorithm>
#include <array>

namespace citronspoke::settings {

namespace {

    constexpr double MsPerHour = 3600000;

    constexpr std::array<KeyRule, 39> DeploymentRules {
        KeyRule { "zone.*", "region", ValueKind::Text, true },
        KeyRule { "model.*", "context_tokens", ValueKind::Integer, true, 1, 10000000 },
        KeyRule { "model.*", "adapters", ValueKind::TextList },
        KeyRule { "model.*", "versions", ValueKind::TextList },
        KeyRule { "tier.*", "class", ValueKind::Text, true },
        KeyRule { "tier.*", "worth", ValueKind::Real, false, 0, 1000000 },
        KeyRule { "tier.*", "models", ValueKind::TextList },
        KeyRule { "tier.*", "services", ValueKind::TextList },
        KeyRule { "tier.*", "concurrent_requests", ValueKind::Integer, true, 1, 1000000 },
        KeyRule { "tier.*", "tokens_per_minute", ValueKind::Integer, true, 1, 1e12 },
        KeyRule { "tier.*", "deadline", ValueKind::Duration, true, 10, 24 * MsPerHour },
        KeyRule { "organisation.*", "tier", ValueKind::Text, true },
        KeyRule { "organisation.*", "key_hashes", ValueKind::TextList, true },
        KeyRule { "pool.*", "kind", ValueKind::Text, true },
        KeyRule { "pool.*", "model", ValueKind::Text },
        KeyRule { "pool.*", "slots", ValueKind::Integer, true, 1, 4096 },
        KeyRule { "pool.*", "idempotent_paths", ValueKind::TextList },
        KeyRule { "pool.*", "journal_shards", ValueKind::Integer, false, 1, 256 },
        KeyRule { "target.*", "pool", ValueKind::Text, true },
        KeyRule { "target.*", "zone", ValueKind::Text, true },
        KeyRule { "target.*", "mailbox", ValueKind::Url, true },
        KeyRule { "target.*", "operator", ValueKind::Address, true },
        KeyRule { "target.*", "drained", ValueKind::Flag },
        KeyRule { "target.*", "role", ValueKind::Text },
        KeyRule { "routing", "policy", ValueKind::Text },
        KeyRule { "routing", "subset", ValueKind::Integer, false, 1, 4096 },
        KeyRule { "routing", "other_zone_cost", ValueKind::Duration, false, 0, 10000 },
        KeyRule { "routing", "prefix_saving", ValueKind::Real, false, 0, 1 },
        KeyRule { "roles", "enabled", ValueKind::Flag },
        KeyRule { "roles", "change_price", ValueKind::Real, false, 0, 1 },
        KeyRule { "roles", "horizon", ValueKind::Duration, false, 100, MsPerHour },
        KeyRule { "roles", "shortest_interval", ValueKind::Duration, false, 100, MsPerHour },
        KeyRule { "roles", "floor_per_role", ValueKind::Integer, false, 0, 1000 },
        KeyRule { "limits", "body_bytes", ValueKind::Integer, false, 1024, 16777216 },
        KeyRule { "limits", "retry_share", ValueKind::Real, false, 0, 1 },
        KeyRule { "limits", "retry_burst", ValueKind::Integer, false, 0, 10000 },
        KeyRule { "limits", "attempts_per_request", ValueKind::Integer, false, 1, 20 },
        KeyRule { "journal", "commit_interval", ValueKind::Duration, false, 0, 1000 },
        KeyRule { "journal", "retention", ValueKind::Duration, false, 1000, 8760 * MsPerHour },
    };

    constexpr std::array<std::string_view, 4> RoutingNames { "estimated_finish", "round_robin",
        "least_outstanding", "two_choices" };

    /** Builds a Deployment from a validated document and reports dangling references. */
    class DeploymentBuilder {
    public:
        explicit DeploymentBuilder(TomlDocument& document)
            : m_document(document)
        {
        }

        Deployment build()
        {
            forEach("zone", [this](const std::string& name, const TableReader& reader) {
                m_result.zones[ZoneId(name)] = { ZoneId(name), reader.text("region") };
            });
            forEach("model", [this](const std::string& name, const TableReader& reader) {
                m_result.models[ModelId(name)]
                    = { ModelId(name), reader.number("context_tokens", 1U), reader.list("adapters"),
                          reader.list("versions") };
            });
            forEach("pool", [this](const std::string& n, const TableReader& r) { addPool(n, r); });
            forEach("tier", [this](const std::string& n, const TableReader& r) { addTier(n, r); });
            forEach("organisation",
                [this](const std::string& n, const TableReader& r) { addOrganisation(n, r); });
            forEach(
                "target", [this](const std::string& n, const TableReader& r) { addTarget(n, r); });
            readRouting();
            readRoles();
            readLimits();
            readJournal();
            return std::move(m_result);
        }

    private:
        template <typename Action> void forEach(std::string_view section, const Action& action)
        {
            const toml::table* tables = m_document.root()[section].as_table();
            if (!tables)
                return;
            for (auto&& [key, node] : *tables) {
                if (const toml::table* table = node.as_table())
                    action(std::string(key.str()), TableReader(*table));
            }
        }

        void expect(bool holds, std::string_view section, std::string_view name,
            std::string_view key, std::string_view expected)
        {
            if (!holds)
                m_document.report(std::string(section) + "." + std::string(name), key, expected);
        }

        void addPool(const std::string& name, const TableReader& reader)
        {
            Pool pool;
            pool.id = PoolId(name);
            const std::string kind = reader.text("kind");
            const bool isEngine = kind == citronspoke::toText(TargetKind::ModelEngine);
            const bool isApplication = kind == citronspoke::toText(TargetKind::Application);
            expect(isEngine || isApplication, "pool", name, "kind", "model_engine or application");
            pool.kind = isApplication ? TargetKind::Application : TargetKind::ModelEngine;
            pool.model = ModelId(reader.text("model"));
            if (isEngine)
                expect(m_result.models.contains(pool.model), "pool", name, "model",
                    "the name of a [model] table");
            pool.slots = reader.number("slots", 1U);
            pool.idempotentPaths = reader.list("idempotent_paths");
            pool.journalShards = reader.number("journal_shards", pool.journalShards);
            m_result.pools[pool.id] = std::move(pool);
        }

        void addTier(const std::string& name, const TableReader& reader)
        {
            Tier tier;
            tier.id = TierId(name);
            const std::optional<WorkClass> workClass = workClassFromText(reader.text("class"));
            expect(workClass.has_value(), "tier", name, "class",
                "interactive, standard, batch or trial");
            tier.workClass = workClass.value_or(WorkClass::Standard);
            tier.worth = reader.real("worth", tier.worth);
            for (const std::string& model : reader.list("models")) {
                expect(m_result.models.contains(ModelId(model)), "tier", name, "models",
                    "names of [model] tables; there is no " + model);
                tier.models.emplace_back(model);
            }
            for (const std::string& service : reader.list("services")) {
                expect(m_result.pools.contains(PoolId(service)), "tier", name, "services",
                    "names of [pool] tables; there is no " + service);
                tier.services.emplace_back(service);
            }
            tier.concurrentRequests = reader.number("concurrent_requests", 1U);
            tier.tokensPerMinute = reader.number("tokens_per_minute", uint64_t { 1 });
            tier.deadline = reader.duration("deadline", Milliseconds(0));
            m_result.tiers[tier.id] = std::move(tier);
        }

        void addOrganisation(const std::string& name, const TableReader& reader)
        {
            Organisation organisation;
            organisation.id = OrganisationId(name);
            organisation.tier = TierId(reader.text("tier"));
            expect(m_result.tiers.contains(organisation.tier), "organisation", name, "tier",
                "the name of a [tier] table");
            organisation.keyHashes = reader.list("key_hashes");
            constexpr size_t HashCharacters = 64;
            for (const std::string& hash : organisation.keyHashes) {
                expect(hash.size() == HashCharacters, "organisation", name, "key_hashes",
                    "SHA-256 hashes of 64 hexadecimal digits");
                const bool isNew
                    = m_result.organisationsByKeyHash.emplace(hash, organisation.id).second;
                expect(isNew, "organisation", name, "key_hashes",
                    "key hashes that no other organisation has");
            }
            m_result.organisations[organisation.id] = std::move(organisation);
        }

        void addTarget(const std::string& name, const TableReader& reader)
        {
            Target target;
            target.id = TargetId(name);
            target.pool = PoolId(reader.text("pool"));
            target.zone = ZoneId(reader.text("zone"));
            target.mailbox = PeerAddress(reader.text("mailbox"));
            target.operatorAddress = reader.text("operator");
            target.isDrained = reader.flag("drained", false);
            const std::string role = reader.text("role");
            target.role = engineRoleFromText(role);
            expect(role.empty() || target.role, "target", name, "role", "mixed, prefill or decode");
            expect(m_result.pools.contains(target.pool), "target", name, "pool",
                "the name of a [pool] table");
            expect(m_result.zones.contains(target.zone), "target", name, "zone",
                "the name of a [zone] table");
            const bool isDuplicate = std::any_of(m_result.targets.begin(), m_result.targets.end(),
                [&target](const auto& other) { return other.second.mailbox == target.mailbox; });
            expect(!isDuplicate, "target", name, "mailbox", "an address that no other target has");
            m_result.targets[target.id] = std::move(target);
        }

        TableReader section(std::string_view name) const
        {
            static const toml::table empty;
            const toml::table* table = m_document.root()[name].as_table();
            return TableReader(table ? *table : empty);
        }

        void readRouting()
        {
            const TableReader reader = section("routing");
            RoutingSettings& routing = m_result.routing;
            const std::string policy = reader.text("policy", RoutingNames.front());
            const auto found = std::find(RoutingNames.begin(), RoutingNames.end(), policy);
            if (found == RoutingNames.end())
                m_document.report("routing", "policy",
                    "estimated_finish, round_robin, least_outstanding or two_choices");
            else
                routing.kind = static_cast<RoutingKind>(found - RoutingNames.begin());
            routing.subset = reader.number("subset", routing.subset);
            routing.otherZoneCost = reader.duration("other_zone_cost", routing.otherZoneCost);
            routing.prefixSaving = reader.real("prefix_saving", routing.prefixSaving);
        }

        void readRoles()
        {
            const TableReader reader = section("roles");
            RoleSettings& roles = m_result.roles;
            roles.isEnabled = reader.flag("enabled", roles.isEnabled);
            roles.changePrice = reader.real("change_price", roles.changePrice);
            roles.horizon = reader.duration("horizon", roles.horizon);
            roles.shortestInterval = reader.duration("shortest_interval", roles.shortestInterval);
            roles.floorPerRole = reader.number("floor_per_role", roles.floorPerRole);
        }

        void readLimits()
        {
            const TableReader reader = section("limits");
            LimitSettings& limits = m_result.limits;
            limits.bodyBytes = reader.number("body_bytes", limits.bodyBytes);
            limits.retryShare = reader.real("retry_share", limits.retryShare);
            limits.retryBurst = reader.number("retry_burst", limits.retryBurst);
            limits.attemptsPerRequest
                = reader.number("attempts_per_request", limits.attemptsPerRequest);
        }

        void readJournal()
        {
            const TableReader reader = section("journal");
            JournalSettings& journal = m_result.journal;
            journal.commitInterval = reader.duration("commit_interval", journal.commitInterval);
            journal.retention = std::chrono::duration_cast<std::chrono::seconds>(
                reader.duration("retention", journal.retention));
        }

        TomlDocument& m_document;
        Deployment m_result;
    };

} // namespace

Deployment parseDeployment(std::span<const SourceFile> files)
{
    TomlDocument document(files, DeploymentRules);
    document.throwIfInvalid();
    Deployment deployment = DeploymentBuilder(document).build();
    document.throwIfInvalid();
    return deployment;
}

const Organisation* Deployment::organisationOfKey(std::string_view bearerKey) const
{
    const auto found = organisationsByKeyHash.find(hashKey(bearerKey));
    if (found == organisationsByKeyHash.end())
        return nullptr;
    return &organisations.at(found->second);
}

const Pool* Deployment::poolOfModel(const ModelId& model) const
{
    for (const auto& [id, pool] : pools) {
        if (pool.kind == TargetKind::ModelEngine && pool.model == model)
            return &pool;
    }
    return nullptr;
}

} // namespace citronspoke::settings
