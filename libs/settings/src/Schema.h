#pragma once

#include "settings/Settings.h"

#include <toml++/toml.h>

namespace citronspoke::settings {

/** The type of a key's value. */
enum class ValueKind : uint8_t {
    Text,
    TextList,
    /** A string: names joined by commas, or nothing. */
    Names,
    Integer,
    Real,
    Flag,
    /** A string: a number with one of the units ms, s, m, h. */
    Duration,
    /** IP:PORT. */
    Address,
    /** tcp://IP:PORT or http://IP:PORT. */
    Url,
};

/**
 * A known key and its valid values. The section "tier.*" stands for every table below "tier"; an
 * empty section is the top level of the file.
 */
struct KeyRule {
    std::string_view section;
    std::string_view key;
    ValueKind kind = ValueKind::Text;
    bool isRequired = false;
    /** Bounds of numbers and, in milliseconds, of durations; both inclusive. */
    double minimum = 0;
    double maximum = 1e12;
};

/** Typed access to a validated table. Missing keys yield the default value. */
class TableReader {
public:
    explicit TableReader(const toml::table& table)
        : m_table(table)
    {
    }
    std::string text(std::string_view key, std::string_view defaultValue = {}) const;
    std::vector<std::string> list(std::string_view key) const;
    double real(std::string_view key, double defaultValue) const;
    bool flag(std::string_view key, bool defaultValue) const;
    Milliseconds duration(std::string_view key, Milliseconds defaultValue) const;

    template <typename Number> Number number(std::string_view key, Number defaultValue) const
    {
        return static_cast<Number>(m_table[key].value_or(static_cast<int64_t>(defaultValue)));
    }

private:
    const toml::table& m_table;
};

/** A set of merged TOML files, in which later files override earlier ones, and its problems. */
class TomlDocument {
public:
    /**
     * Parses and merges the files and validates each key against the rules. Problems of syntax and
     * schema are collected, not thrown.
     * @param rules must outlive this object.
     */
    TomlDocument(std::span<const SourceFile> files, std::span<const KeyRule> rules);

    const toml::table& root() const noexcept { return m_root; }
    /** Adds a problem at the position of @p section . @p key or, if it is missing, of the section.
     */
    void report(std::string_view section, std::string_view key, std::string_view expected);
    bool isValid() const noexcept { return m_problems.empty(); }
    /** @throws SettingsInvalid when any problem was found. */
    void throwIfInvalid() const;

private:
    void parse(const SourceFile& file);
    void checkSection(std::string_view name, const toml::node& node);
    void checkTable(std::string_view section, std::string_view path, const toml::table& table);
    void checkValue(const KeyRule& rule, std::string_view path, const toml::node& node);
    void checkRequired(std::string_view section, std::string_view path, const toml::table& table);
    void addProblem(
        const toml::source_region& source, std::string_view key, std::string_view expected);

    std::span<const KeyRule> m_rules;
    toml::table m_root;
    std::vector<Problem> m_problems;
};

/** @return the duration in a text such as "700ms"; none when the text is malformed. */
std::optional<Milliseconds> parseDuration(std::string_view text);

} // namespace citronspoke::settings
