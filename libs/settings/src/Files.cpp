#include "settings/Settings.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <sstream>

namespace citronspoke::settings {

std::string SettingsInvalid::describe() const
{
    std::string text;
    for (const Problem& problem : m_problems) {
        if (!text.empty())
            text += '\n';
        text += problem.file + ":" + std::to_string(problem.line) + ": ";
        if (!problem.key.empty())
            text += problem.key + ": ";
        text += "expected " + problem.expected + ".";
    }
    return text;
}

SourceFile readFile(const std::string& path)
{
    std::ifstream stream(path);
    if (!stream)
        throw SettingsUnreadable(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return { path, text.str() };
}

std::vector<SourceFile> readFolder(const std::string& path)
{
    std::error_code error;
    std::vector<std::filesystem::path> paths;
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
        if (entry.path().extension() == ".toml")
            paths.push_back(entry.path());
    }
    if (error || paths.empty())
        throw SettingsUnreadable(path);
    std::sort(paths.begin(), paths.end());
    std::vector<SourceFile> files;
    for (const std::filesystem::path& file : paths) {
        files.push_back(readFile(file.string()));
        files.back().name = file.filename().string();
    }
    return files;
}

std::string toDocument(std::span<const SourceFile> files)
{
    nlohmann::json list = nlohmann::json::array();
    for (const SourceFile& file : files)
        list.push_back({ { "name", file.name }, { "text", file.text } });
    return list.dump();
}

std::vector<SourceFile> fromDocument(std::string_view document)
{
    try {
        std::vector<SourceFile> files;
        for (const nlohmann::json& item : nlohmann::json::parse(document))
            files.push_back({ item.at("name"), item.at("text") });
        return files;
    } catch (const nlohmann::json::exception&) {
        throw SettingsInvalid({ { "document", 0, "", "a stored configuration document" } });
    }
}

std::string hashKey(std::string_view bearerKey)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(
        reinterpret_cast<const unsigned char*>(bearerKey.data()), bearerKey.size(), digest.data());
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text += Digits[byte >> 4];
        text += Digits[byte & 0xF];
    }
    return text;
}

} // namespace citronspoke::settings
