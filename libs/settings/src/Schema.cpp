#include "Schema.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace citronspoke::settings {

namespace {

    void mergeInto(toml::table& base, toml::table&& later)
    {
        for (auto&& [key, node] : later) {
            toml::table* existing = base[key.str()].as_table();
            if (existing && node.is_table()) {
                mergeInto(*existing, std::move(*node.as_table()));
                continue;
            }
            // Moving a node keeps its source position; copying would lose it.
            node.visit([&base, &name = key](
                           auto& typed) { base.insert_or_assign(name.str(), std::move(typed)); });
        }
    }

    bool isAddress(std::string_view text)
    {
        const size_t colon = text.rfind(':');
        if (colon == std::string_view::npos || colon == 0)
            return false;
        int port = 0;
        const std::string_view digits = text.substr(colon + 1);
        const auto [end, error]
            = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        constexpr int HighestPort = 65535;
        return error == std::errc {} && end == digits.data() + digits.size() && port > 0
            && port <= HighestPort;
    }

    bool isUrl(std::string_view text)
    {
        for (const std::string_view scheme : { "tcp://", "http://" }) {
            if (text.starts_with(scheme))
                return isAddress(text.substr(scheme.size()));
        }
        return false;
    }

    bool isTextList(const toml::node& node)
    {
        const toml::array* array = node.as_array();
        return array && std::all_of(array->begin(), array->end(), [](const toml::node& item) {
            return item.is_string();
        });
    }

    std::string numberText(double value)
    {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.')
            text.pop_back();
        return text;
    }

    std::string rangeText(const KeyRule& rule, std::string_view what)
    {
        return std::string(what) + " from " + numberText(rule.minimum) + " to "
            + numberText(rule.maximum);
    }

    bool isWithin(const KeyRule& rule, double value)
    {
        return value >= rule.minimum && value <= rule.maximum;
    }

    std::string join(std::string_view section, std::string_view key)
    {
        std::string path(section);
        if (!path.empty() && !key.empty())
            path += '.';
        return path.append(key);
    }

} // namespace

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    struct Unit {
        std::string_view suffix;
        double milliseconds;
    };
    constexpr std::array<Unit, 4> Units { Unit { "ms", 1 }, Unit { "s", 1000 }, Unit { "m", 60000 },
        Unit { "h", 3600000 } };
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc {})
        return std::nullopt;
    const std::string_view suffix(rest, static_cast<size_t>(end - rest));
    for (const Unit& unit : Units) {
        if (suffix == unit.suffix)
            return Milliseconds(static_cast<int64_t>(value * unit.milliseconds));
    }
    return std::nullopt;
}

std::string TableReader::text(std::string_view key, std::string_view defaultValue) const
{
    return m_table[key].value_or(std::string(defaultValue));
}

std::vector<std::string> TableReader::list(std::string_view key) const
{
    std::vector<std::string> items;
    if (const toml::array* array = m_table[key].as_array()) {
        for (const toml::node& node : *array)
            items.push_back(node.value_or(std::string()));
    }
    return items;
}

double TableReader::real(std::string_view key, double defaultValue) const
{
    return m_table[key].value_or(defaultValue);
}

bool TableReader::flag(std::string_view key, bool defaultValue) const
{
    return m_table[key].value_or(defaultValue);
}

Milliseconds TableReader::duration(std::string_view key, Milliseconds defaultValue) const
{
    return parseDuration(m_table[key].value_or(std::string())).value_or(defaultValue);
}

TomlDocument::TomlDocument(std::span<const SourceFile> files, std::span<const KeyRule> rules)
    : m_rules(rules)
{
    for (const SourceFile& file : files)
        parse(file);
    for (auto&& [key, node] : m_root)
        checkSection(key.str(), node);
    checkRequired("", "", m_root);
}

void TomlDocument::parse(const SourceFile& file)
{
    try {
        mergeInto(m_root, toml::parse(file.text, file.name));
    } catch (const toml::parse_error& error) {
        addProblem(
            error.source(), "", std::string("valid TOML: ") + std::string(error.description()));
    }
}

void TomlDocument::checkSection(std::string_view name, const toml::node& node)
{
    const auto matches = [&](std::string_view section) {
        return std::any_of(m_rules.begin(), m_rules.end(),
            [&](const KeyRule& rule) { return rule.section == section; });
    };
    const auto topLevel = std::find_if(m_rules.begin(), m_rules.end(),
        [&](const KeyRule& rule) { return rule.section.empty() && rule.key == name; });
    if (topLevel != m_rules.end())
        return checkValue(*topLevel, name, node);
    const std::string pattern = std::string(name) + ".*";
    const toml::table* table = node.as_table();
    if (!matches(name) && !matches(pattern))
        return addProblem(node.source(), name, "a known section");
    if (!table)
        return addProblem(node.source(), name, "a table");
    if (matches(name))
        return checkTable(name, name, *table);
    for (auto&& [key, item] : *table) {
        const std::string path = join(name, key.str());
        if (const toml::table* itemTable = item.as_table())
            checkTable(pattern, path, *itemTable);
        else
            addProblem(item.source(), path, "a table");
    }
}

void TomlDocument::checkTable(
    std::string_view section, std::string_view path, const toml::table& table)
{
    for (auto&& [key, node] : table) {
        const std::string_view name = key.str();
        const auto rule = std::find_if(m_rules.begin(), m_rules.end(),
            [&](const KeyRule& r) { return r.section == section && r.key == name; });
        if (rule == m_rules.end())
            addProblem(node.source(), join(path, name), "a known key");
        else
            checkValue(*rule, join(path, name), node);
    }
    checkRequired(section, path, table);
}

void TomlDocument::checkRequired(
    std::string_view section, std::string_view path, const toml::table& table)
{
    for (const KeyRule& rule : m_rules) {
        if (rule.section == section && rule.isRequired && !table.contains(rule.key))
            addProblem(table.source(), join(path, rule.key), "this key to be set");
    }
}

void TomlDocument::checkValue(const KeyRule& rule, std::string_view path, const toml::node& node)
{
    const std::string text = node.value_or(std::string());
    const auto expect = [&](bool holds, std::string_view expected) {
        if (!holds)
            addProblem(node.source(), path, expected);
    };
    switch (rule.kind) {
    case ValueKind::Text:
        return expect(node.is_string() && !text.empty(), "a non-empty string");
    case ValueKind::Names:
        return expect(node.is_string(), "a string");
    case ValueKind::TextList:
        return expect(isTextList(node), "a list of strings");
    case ValueKind::Integer:
        return expect(
            node.is_integer() && isWithin(rule, node.value_or(0.0)), rangeText(rule, "an integer"));
    case ValueKind::Real:
        return expect(
            node.is_number() && isWithin(rule, node.value_or(0.0)), rangeText(rule, "a number"));
    case ValueKind::Flag:
        return expect(node.is_boolean(), "true or false");
    case ValueKind::Duration: {
        const std::optional<Milliseconds> duration = parseDuration(text);
        return expect(duration && isWithin(rule, static_cast<double>(duration->count())),
            rangeText(rule, "a duration with the unit ms, s, m or h, in ms")
                + ", such as \"700ms\"");
    }
    case ValueKind::Address:
        return expect(node.is_string() && isAddress(text), "an address in the form IP:PORT");
    case ValueKind::Url:
        return expect(node.is_string() && isUrl(text), "tcp://IP:PORT or http://IP:PORT");
    }
}

void TomlDocument::report(std::string_view section, std::string_view key, std::string_view expected)
{
    const std::string path = join(section, key);
    const toml::node_view<const toml::node> found = std::as_const(m_root).at_path(path);
    const toml::node_view<const toml::node> parent = std::as_const(m_root).at_path(section);
    if (found.node())
        addProblem(found.node()->source(), path, expected);
    else
        addProblem(
            parent.node() ? parent.node()->source() : toml::source_region {}, path, expected);
}

void TomlDocument::addProblem(
    const toml::source_region& source, std::string_view key, std::string_view expected)
{
    Problem problem;
    problem.file = source.path ? *source.path : std::string();
    problem.line = source.begin.line;
    problem.key = key;
    problem.expected = expected;
    m_problems.push_back(std::move(problem));
}

void TomlDocument::throwIfInvalid() const
{
    if (!m_problems.empty())
        throw SettingsInvalid(m_problems);
}

} // namespace citronspoke::settings
