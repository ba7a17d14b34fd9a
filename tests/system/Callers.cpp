#include "Callers.h"

#include "TokenText.h"
#include "decisions/Decisions.h"

#include <filesystem>

namespace citronspoke::tests {

using nlohmann::json;

const std::string LookupKey = "rahbar-lookup-key";
const std::string ReviewKey = "rahbar-review-key";
const std::string TrialKey = "rahbar-trial-key";

namespace {

    constexpr Milliseconds CallLimit { 60000 };
    constexpr uint32_t JournalShards = 8;

    transport::HttpRequest requestFor(
        const std::string& url, const std::string& bearer, const Headers& headers)
    {
        transport::HttpRequest request;
        request.method = "POST";
        request.target = url;
        request.headers.insert(headers.begin(), headers.end());
        request.headers["authorization"] = "Bearer " + bearer;
        return request;
    }

    Response send(const transport::HttpRequest& request)
    {
        Response result;
        try {
            const transport::HttpResponse response = transport::callHttp(request, CallLimit);
            result.status = response.status;
            result.body = json::parse(response.body, nullptr, false);
            result.isReplayed = response.headers.contains("idempotency-replayed");
            auto retryAfter = response.headers.find("retry-after");
            if (retryAfter != response.headers.end())
                result.retryAfter = retryAfter->second;
        } catch (const transport::HttpFailed&) {
            result.status = 0;
        }
        return result;
    }

    void parseLine(std::string_view line, StreamedResponse& result)
    {
        if (line.starts_with("id: "))
            result.lastEventId = line.substr(4);
        if (!line.starts_with("data: "))
            return;
        line.remove_prefix(6);
        if (line == "[DONE]") {
            result.isComplete = true;
            return;
        }
        const json body = json::parse(line);
        if (body.contains("error")) {
            result.error = body["error"];
            return;
        }
        const std::string text = body["choices"][0].value("text", "");
        if (!text.empty())
            result.tokens.push_back(text);
    }

} // namespace

localfleet::FleetOptions smallFleet(const std::string& name)
{
    localfleet::FleetOptions options;
    options.deploymentFolder = std::string(DEPLOY_FOLDER) + "/rahbar";
    const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
    options.workFolder = (self.parent_path().parent_path() / "system-tests" / name).string();
    std::filesystem::remove_all(options.workFolder);
    options.targets = { "e-1", "e-2", "e-3", "a-1", "a-2", "a-3" };
    return options;
}

std::string Response::execution() const
{
    return body.is_object() && body.contains("error") ? body["error"].value("execution", "") : "";
}

std::string Response::errorType() const
{
    return body.is_object() && body.contains("error") ? body["error"].value("type", "") : "";
}

Response callService(const std::string& entryUrl, const std::string& key, const std::string& body,
    const std::string& path)
{
    Headers headers;
    if (!key.empty())
        headers["idempotency-key"] = key;
    transport::HttpRequest request
        = requestFor(entryUrl + "/v1/services/receipts" + path, LookupKey, headers);
    request.headers["x-deadline-ms"] = "30000";
    request.body = body;
    return send(request);
}

Response requestCompletion(const std::string& entryUrl, const json& body, const std::string& bearer,
    const Headers& headers)
{
    transport::HttpRequest request = requestFor(entryUrl + "/v1/completions", bearer, headers);
    request.body = body.dump();
    return send(request);
}

StreamedResponse stream(const std::string& entryUrl, json body, const std::string& bearer,
    const Headers& headers, const std::function<bool(const StreamedResponse&)>& onToken)
{
    transport::HttpRequest request = requestFor(entryUrl + "/v1/completions", bearer, headers);
    body["stream"] = true;
    request.body = body.dump();
    StreamedResponse result;
    std::string pending;
    try {
        transport::streamHttp(request, CallLimit, [&](std::string_view data) {
            pending.append(data);
            for (size_t end = pending.find('\n'); end != std::string::npos;
                 end = pending.find('\n')) {
                parseLine(std::string_view(pending).substr(0, end), result);
                pending.erase(0, end + 1);
            }
            return !onToken || onToken(result);
        });
    } catch (const transport::HttpFailed&) {
        result.isComplete = false;
    }
    if (!pending.empty() && result.error.is_null())
        result.error = json::parse(pending, nullptr, false).value("error", json());
    return result;
}

json fetchJson(const std::string& url)
{
    transport::HttpRequest request;
    request.target = url;
    try {
        return json::parse(transport::callHttp(request, Milliseconds(5000)).body, nullptr, false);
    } catch (const transport::HttpFailed&) {
        return nullptr;
    }
}

json completionBody(const std::string& prompt, uint32_t tokens)
{
    return { { "model", "dossier" }, { "prompt", prompt }, { "max_tokens", tokens } };
}

std::vector<std::string> expectedTokens(const std::string& prompt, uint32_t tokens)
{
    std::vector<std::string> texts;
    for (uint32_t offset = 0; offset < tokens; ++offset)
        texts.push_back(fakes::tokenText(stableHash(prompt), offset));
    return texts;
}

std::string keyFor(const std::string& target, const std::vector<std::string>& targets, int first)
{
    for (int number = first;; ++number) {
        std::string key = "key-" + std::to_string(number);
        const IdempotencyKey full("brokers/" + key);
        const auto rank = [&full](const std::string& name) {
            return decisions::journalRank(full, JournalShards, TargetId(name));
        };
        bool isFirst = true;
        for (const std::string& other : targets)
            isFirst = isFirst && rank(other) <= rank(target);
        if (isFirst)
            return key;
    }
}

bool eventually(const std::function<bool()>& condition)
{
    const SteadyTime end = steadyNow() + std::chrono::minutes(1);
    while (!condition()) {
        if (steadyNow() > end)
            return false;
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
}

} // namespace citronspoke::tests
