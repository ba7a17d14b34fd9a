#pragma once

#include "settings/Settings.h"

#include <toml++/toml.h>

namespace citronspoke::settings {

enum class ValueKind : uint8_t {
    Text,
    TextList,
    Integer,
    Real,
    Flag,
    /** A number with one of the units ms, s, m, h. */
    Duration,
    /** IP:PORT. */
    Address,
    /** tcp://IP:PORT or http://IP:PORT. */
    Url,
};

/** One allowed key. A section "tier.*" holds one table for each name. */
struct KeyRule {
    std::string_view section;
    std::string_view key;
    ValueKind kind = ValueKind::Text;
    bool isRequired = false;
    /** Of numbers and of durations in milliseconds. */
    double minimum = 0;
    double maximum = 1e12;
};

/** A checked table with typed access. Missing keys give the default. */
class Reader {
public:
    explicit Reader(const toml::table& table)
        : m_table(table)
    {
    }
    std::string text(std::string_view key, std::string_view missing = {}) const;
    std::vector<std::string> list(std::string_view key) const;
    double real(std::string_view key, double missing) const;
    bool flag(std::string_view key, bool missing) const;
    Milliseconds duration(std::string_view key, Milliseconds missing) const;

    template <typename Number> Number number(std::string_view key, Number missing) const
    {
        return static_cast<Number>(m_table[key].value_or(static_cast<int64_t>(missing)));
    }

private:
    const toml::table& m_table;
};

/** Merges later files over earlier ones and checks each key against the rules. */
class Document {
public:
    /** Problems of syntax and schema are collected, not thrown. */
    Document(std::span<const SourceFile> files, std::span<const KeyRule> rules);

    const toml::table& root() const noexcept { return m_root; }
    /** Adds a problem at the place where @p section . @p key was set. */
    void report(std::string_view section, std::string_view key, std::string_view expected);
    bool isValid() const noexcept { return m_problems.empty(); }
    /** @throws SettingsInvalid when there is any problem. */
    void throwIfInvalid() const;

private:
    void parse(const SourceFile& file);
    void checkSection(std::string_view name, const toml::node& node);
    void checkTable(std::string_view rulesOf, std::string_view path, const toml::table& table);
    void checkValue(const KeyRule& rule, std::string_view path, const toml::node& node);
    void checkRequired(std::string_view rulesOf, std::string_view path, const toml::table& table);
    void add(const toml::source_region& place, std::string_view key, std::string_view expected);

    std::span<const KeyRule> m_rules;
    toml::table m_root;
    std::vector<Problem> m_problems;
};

/** @return the duration in a text such as "700ms"; none when it is not one. */
std::optional<Milliseconds> parseDuration(std::string_view text);

} // namespace citronspoke::settings
