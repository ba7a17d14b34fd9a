#include "Schema.h"

#include <array>

namespace citronspoke::settings {

namespace {

    constexpr std::array<KeyRule, 9> EntryRules {
        KeyRule { "", "id", ValueKind::Text, true },
        KeyRule { "", "zone", ValueKind::Text, true },
        KeyRule { "", "mailbox", ValueKind::Url, true },
        KeyRule { "", "operator", ValueKind::Address, true },
        KeyRule { "", "store", ValueKind::Url, true },
        KeyRule { "", "vm_list", ValueKind::Url, true },
        KeyRule { "", "callers", ValueKind::Address, true },
        KeyRule { "", "http_threads", ValueKind::Integer, false, 1, 64 },
        KeyRule { "", "seeds", ValueKind::TextList },
    };

    constexpr std::array<KeyRule, 9> AgentRules {
        KeyRule { "", "id", ValueKind::Text, true },
        KeyRule { "", "zone", ValueKind::Text, true },
        KeyRule { "", "mailbox", ValueKind::Url, true },
        KeyRule { "", "operator", ValueKind::Address, true },
        KeyRule { "", "store", ValueKind::Url, true },
        KeyRule { "", "vm_list", ValueKind::Url, true },
        KeyRule { "", "kind", ValueKind::Text, true },
        KeyRule { "", "target", ValueKind::Url, true },
        KeyRule { "", "engine_checks_fencing", ValueKind::Flag },
    };

    ProcessSettings readProcess(const TableReader& reader)
    {
        ProcessSettings process;
        process.id = reader.text("id");
        process.zone = ZoneId(reader.text("zone"));
        process.mailbox = PeerAddress(reader.text("mailbox"));
        process.operatorAddress = reader.text("operator");
        process.store = reader.text("store");
        process.vmList = reader.text("vm_list");
        return process;
    }

} // namespace

EntrySettings parseEntrySettings(const SourceFile& file)
{
    const TomlDocument document(std::span(&file, 1), EntryRules);
    document.throwIfInvalid();
    const TableReader reader(document.root());
    EntrySettings entry;
    entry.process = readProcess(reader);
    entry.callerAddress = reader.text("callers");
    entry.httpThreads = reader.number("http_threads", entry.httpThreads);
    entry.seeds = reader.list("seeds");
    return entry;
}

AgentSettings parseAgentSettings(const SourceFile& file)
{
    TomlDocument document(std::span(&file, 1), AgentRules);
    document.throwIfInvalid();
    const TableReader reader(document.root());
    AgentSettings agent;
    agent.process = readProcess(reader);
    const std::string kind = reader.text("kind");
    if (kind == citronspoke::toText(TargetKind::Application))
        agent.kind = TargetKind::Application;
    else if (kind != citronspoke::toText(TargetKind::ModelEngine))
        document.report("", "kind", "model_engine or application");
    document.throwIfInvalid();
    agent.target = reader.text("target");
    agent.engineChecksFencing = reader.flag("engine_checks_fencing", agent.engineChecksFencing);
    return agent;
}

} // namespace citronspoke::settings
