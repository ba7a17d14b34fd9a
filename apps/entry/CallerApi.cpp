#include "CallerApi.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace citronspoke::entry {

namespace {

    using nlohmann::json;

    constexpr uint32_t DefaultOutputTokens = 64;
    /** Prompt tokens are estimated from the length of the text. */
    constexpr size_t CharactersPerToken = 4;
    constexpr size_t BlockCharacters = 1000 * CharactersPerToken;
    constexpr size_t RequestIdCharacters = 20;
    constexpr size_t MaxIdempotencyKeyBytes = 200;
    constexpr Milliseconds RetryAfterWithoutConfiguration { 1000 };
    constexpr std::string_view ServicePrefix = "/v1/services/";

    std::vector<uint64_t> prefixHashesOf(std::string_view prompt)
    {
        std::vector<uint64_t> prefixHashes;
        uint64_t chain = 0;
        for (size_t begin = 0; begin + BlockCharacters <= prompt.size(); begin += BlockCharacters) {
            chain = chain * 31 + stableHash(prompt.substr(begin, BlockCharacters));
            prefixHashes.push_back(chain);
        }
        return prefixHashes;
    }

    json parseBody(const std::string& text)
    {
        json body = json::parse(text, nullptr, false);
        if (!body.is_object())
            throw BadRequest(RefusalReason::MalformedRequest, "The body is not a JSON object.");
        return body;
    }

    std::string promptOf(const json& body, bool isChat)
    {
        if (!isChat) {
            auto prompt = body.find("prompt");
            if (prompt == body.end() || !prompt->is_string())
                throw BadRequest(RefusalReason::MalformedRequest, "\"prompt\" is not a text.");
            return prompt->get<std::string>();
        }
        auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            throw BadRequest(RefusalReason::MalformedRequest, "\"messages\" is not a list.");
        std::string text;
        for (const json& message : *messages) {
            if (!message.is_object() || !message.contains("content")
                || !message.at("content").is_string())
                throw BadRequest(
                    RefusalReason::MalformedRequest, "A message's \"content\" is not a text.");
            text += message.at("content").get<std::string>() + "\n";
        }
        return text;
    }

    uint32_t outputTokensOf(const json& body, uint32_t contextTokens)
    {
        auto found = body.find("max_tokens");
        if (found == body.end())
            return DefaultOutputTokens;
        const bool isValid = found->is_number_integer() && found->get<int64_t>() > 0
            && found->get<int64_t>() <= contextTokens;
        if (!isValid)
            throw BadRequest(RefusalReason::MalformedRequest,
                "\"max_tokens\" is not from 1 to " + std::to_string(contextTokens) + ".");
        return found->get<uint32_t>();
    }

    bool flagOf(const json& body, const char* name)
    {
        auto found = body.find(name);
        if (found == body.end())
            return false;
        if (!found->is_boolean())
            throw BadRequest(RefusalReason::MalformedRequest,
                "\"" + std::string(name) + "\" is not true or false.");
        return found->get<bool>();
    }

    template <typename T> T parseNumber(std::string_view text, std::string_view what)
    {
        T value = 0;
        const char* end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc {} || rest != end || value < 0)
            throw BadRequest(
                RefusalReason::MalformedRequest, std::string(what) + " is not a whole number.");
        return value;
    }

    Milliseconds deadlineOf(const transport::HttpRequest& request, const settings::Tier& tier)
    {
        const std::string_view header = request.header("x-deadline-ms");
        if (header.empty())
            return tier.deadline;
        return Milliseconds(parseNumber<int64_t>(header, "The header X-Deadline-Ms"));
    }

    const settings::Organisation& authenticate(
        const transport::HttpRequest& request, const settings::Deployment& deployment)
    {
        constexpr std::string_view Scheme = "Bearer ";
        const std::string_view header = request.header("authorization");
        const settings::Organisation* organisation = header.starts_with(Scheme)
            ? deployment.organisationOfKey(header.substr(Scheme.size()))
            : nullptr;
        if (!organisation)
            throw BadRequest(RefusalReason::UnknownKey);
        return *organisation;
    }

    template <typename IdType> bool contains(const std::vector<IdType>& list, const IdType& id)
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

    // Last-Event-ID is "REQUEST/TARGET/OFFSET", the id that tokenEvent writes.
    AttachRequest parseAttach(const transport::HttpExchangePointer& exchange,
        const OrganisationId& organisation, std::string_view eventId)
    {
        const size_t first = eventId.find('/');
        const size_t second = eventId.rfind('/');
        if (first == std::string_view::npos || first == second)
            throw BadRequest(
                RefusalReason::MalformedRequest, "Last-Event-ID is not one that was sent.");
        AttachRequest attach;
        attach.exchange = exchange;
        attach.organisation = organisation;
        attach.request = RequestId(std::string(eventId.substr(0, first)));
        attach.target = TargetId(std::string(eventId.substr(first + 1, second - first - 1)));
        attach.fromOffset
            = parseNumber<uint32_t>(eventId.substr(second + 1), "The offset of Last-Event-ID");
        attach.isChat = exchange->request().target.ends_with("/chat/completions");
        return attach;
    }

} // namespace

CallerApi::CallerApi(
    const control::ConfigHolder& config, EntryId self, PeerAddress mailbox, Hooks hooks)
    : m_config(config)
    , m_self(std::move(self))
    , m_mailbox(std::move(mailbox))
    , m_hooks(std::move(hooks))
{
}

void CallerApi::handle(const transport::HttpExchangePointer& exchange) const
{
    try {
        route(exchange);
    } catch (const BadRequest& error) {
        Problem problem;
        problem.reason = error.reason();
        problem.detail = error.describe();
        if (problem.reason == RefusalReason::NoTarget)
            problem.retryAfter = RetryAfterWithoutConfiguration;
        exchange->respond(errorResponse(problem, {}));
    }
}

void CallerApi::route(const transport::HttpExchangePointer& exchange) const
{
    const transport::HttpRequest& request = exchange->request();
    if (request.target == "/healthz") {
        constexpr uint32_t Unavailable = 503;
        const bool isLeaving = m_hooks.isLeaving();
        return exchange->respond(transport::jsonResponse(isLeaving ? Unavailable : 200,
            isLeaving ? R"({"state":"leaving"})" : R"({"state":"serving"})"));
    }
    const settings::DeploymentPointer deployment = m_config.current();
    if (!deployment)
        throw BadRequest(RefusalReason::NoTarget, "No configuration is known yet.");
    const settings::Organisation& organisation = authenticate(request, *deployment);
    if (request.target == "/v1/models" && request.method == "GET")
        return exchange->respond(modelListResponse(deployment->tiers.at(organisation.tier)));
    if (request.body.size() > deployment->limits.bodyBytes)
        throw BadRequest(RefusalReason::BodyTooLarge);
    const bool isCompletion
        = request.target == "/v1/completions" || request.target == "/v1/chat/completions";
    if (isCompletion && !request.header("last-event-id").empty())
        return m_hooks.onAttach(
            parseAttach(exchange, organisation.id, request.header("last-event-id")));
    if (isCompletion && request.method == "POST")
        return m_hooks.onRequest(parseCompletion(exchange, deployment, organisation));
    if (request.target.starts_with(ServicePrefix))
        return m_hooks.onRequest(parseServiceCall(exchange, deployment, organisation));
    throw BadRequest(RefusalReason::UnknownModel, "The path or method is not known.");
}

CallerRequest CallerApi::begin(const transport::HttpExchangePointer& exchange,
    const settings::DeploymentPointer& deployment, const settings::Organisation& organisation) const
{
    CallerRequest caller;
    caller.exchange = exchange;
    caller.deployment = deployment;
    caller.tier = deployment->tiers.at(organisation.tier);
    protocol::Submit& submit = caller.submit;
    submit.request = RequestId(randomHex(RequestIdCharacters));
    submit.entry = m_self;
    submit.replyTo = m_mailbox;
    submit.organisation = organisation.id;
    submit.workClass = caller.tier.workClass;
    const Milliseconds deadline = deadlineOf(exchange->request(), caller.tier);
    submit.deadline = UnixMillis(unixNow().value() + deadline.count());
    submit.method = exchange->request().method;
    submit.body = exchange->request().body;
    submit.fingerprint = stableHash(organisation.id.text() + "\n" + submit.body);
    return caller;
}

CallerRequest CallerApi::parseCompletion(const transport::HttpExchangePointer& exchange,
    const settings::DeploymentPointer& deployment, const settings::Organisation& organisation) const
{
    const std::string& path = exchange->request().target;
    const bool isChat = path == "/v1/chat/completions";
    const json body = parseBody(exchange->request().body);
    CallerRequest caller = begin(exchange, deployment, organisation);
    auto model = body.find("model");
    if (model == body.end() || !model->is_string())
        throw BadRequest(RefusalReason::MalformedRequest, "\"model\" is not a text.");
    caller.model = ModelId(model->get<std::string>());
    const settings::Pool* pool = deployment->poolOfModel(caller.model);
    if (!pool)
        throw BadRequest(RefusalReason::UnknownModel);
    if (!contains(caller.tier.models, caller.model))
        throw BadRequest(RefusalReason::ModelNotAllowed);
    const uint32_t contextTokens = deployment->models.at(caller.model).contextTokens;
    const std::string prompt = promptOf(body, isChat);
    caller.pool = pool->id;
    caller.isStreaming = flagOf(body, "stream");
    caller.prefixHashes = prefixHashesOf(prompt);
    caller.submit.kind
        = isChat ? protocol::WorkKind::ChatCompletion : protocol::WorkKind::Completion;
    caller.submit.path = path;
    caller.submit.promptTokens
        = std::max<uint32_t>(1, static_cast<uint32_t>(prompt.size() / CharactersPerToken));
    caller.submit.outputTokens = outputTokensOf(body, contextTokens);
    if (caller.submit.promptTokens > contextTokens)
        throw BadRequest(RefusalReason::MalformedRequest, "The prompt exceeds the context.");
    return caller;
}

CallerRequest CallerApi::parseServiceCall(const transport::HttpExchangePointer& exchange,
    const settings::DeploymentPointer& deployment, const settings::Organisation& organisation) const
{
    const transport::HttpRequest& request = exchange->request();
    const std::string_view rest = std::string_view(request.target).substr(ServicePrefix.size());
    const size_t slash = std::min(rest.find('/'), rest.size());
    CallerRequest caller = begin(exchange, deployment, organisation);
    caller.pool = PoolId(std::string(rest.substr(0, slash)));
    auto pool = deployment->pools.find(caller.pool);
    if (pool == deployment->pools.end() || pool->second.kind != TargetKind::Application)
        throw BadRequest(RefusalReason::UnknownModel);
    if (!contains(caller.tier.services, caller.pool))
        throw BadRequest(RefusalReason::ModelNotAllowed);
    protocol::Submit& submit = caller.submit;
    submit.kind = protocol::WorkKind::ServiceCall;
    submit.path = slash < rest.size() ? std::string(rest.substr(slash)) : std::string("/");
    submit.fingerprint = stableHash(
        organisation.id.text() + "\n" + submit.method + " " + submit.path + "\n" + submit.body);
    const std::vector<std::string>& idempotentPaths = pool->second.idempotentPaths;
    const bool isIdempotentPath = std::any_of(idempotentPaths.begin(), idempotentPaths.end(),
        [&submit](const std::string& prefix) { return submit.path.starts_with(prefix); });
    const bool isReadOnly = submit.method == "GET" || submit.method == "HEAD";
    if (isReadOnly || isIdempotentPath)
        return caller;
    // Organisations do not share keys. Each service has its own journal, so services do not either.
    const std::string_view key = request.header("idempotency-key");
    if (key.size() > MaxIdempotencyKeyBytes)
        throw BadRequest(RefusalReason::MalformedRequest, "Idempotency-Key is too long.");
    submit.key = IdempotencyKey(organisation.id.text() + "/"
        + (key.empty() ? "request-" + submit.request.text() : std::string(key)));
    return caller;
}

} // namespace citronspoke::entry
