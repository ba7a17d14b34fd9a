#include "Responses.h"

#include <array>
#include <nlohmann/json.hpp>

namespace citronspoke::entry {

namespace {

    using nlohmann::json;

    struct ReasonStatus {
        RefusalReason reason;
        uint32_t status;
        std::string_view message;
    };

    constexpr std::array<ReasonStatus, 21> Statuses {
        ReasonStatus { RefusalReason::MalformedRequest, 400, "The request is malformed." },
        ReasonStatus { RefusalReason::UnknownKey, 401, "The bearer key is not known." },
        ReasonStatus { RefusalReason::UnknownModel, 404, "There is no such model or service." },
        ReasonStatus { RefusalReason::ModelNotAllowed, 403, "Your tier may not use this." },
        ReasonStatus { RefusalReason::BodyTooLarge, 413, "The body is larger than allowed." },
        ReasonStatus { RefusalReason::LimitExceeded, 429, "Your organisation's limit is reached." },
        ReasonStatus { RefusalReason::NoCapacity, 503, "It would be late now. Come back later." },
        ReasonStatus { RefusalReason::DeadlineTooShort, 422, "No target can be that fast." },
        ReasonStatus { RefusalReason::NoTarget, 503, "No target is available now." },
        ReasonStatus { RefusalReason::Leaving, 503, "This server is leaving." },
        ReasonStatus { RefusalReason::StaleConfiguration, 503, "The configuration is changing." },
        ReasonStatus { RefusalReason::NotOwner, 503, "The call's journal is changing hands." },
        ReasonStatus {
            RefusalReason::JournalUnavailable, 503, "The call cannot be made safely now." },
        ReasonStatus { RefusalReason::KeyReused, 409, "The idempotency key had another body." },
        ReasonStatus { RefusalReason::TargetFailed, 502, "The target failed." },
        ReasonStatus { RefusalReason::Quarantined, 422, "This request has crashed targets." },
        ReasonStatus { RefusalReason::DeadlinePassed, 504, "The deadline has passed." },
        ReasonStatus { RefusalReason::Cancelled, 499, "The request was cancelled." },
        ReasonStatus { RefusalReason::RetryBudgetSpent, 503, "Too many retries are under way." },
        ReasonStatus { RefusalReason::InterruptedRun, 502, "An earlier run was interrupted." },
        ReasonStatus { RefusalReason::UnknownRequest, 410, "This answer is no longer kept." },
    };

    const ReasonStatus& statusOf(RefusalReason reason)
    {
        static constexpr ReasonStatus Fallback { RefusalReason::None, 500, "Internal error." };
        for (const ReasonStatus& row : Statuses) {
            if (row.reason == reason)
                return row;
        }
        return Fallback;
    }

    json errorBody(const Problem& problem, const RequestId& request)
    {
        std::string message(statusOf(problem.reason).message);
        if (!problem.detail.empty())
            message += " " + problem.detail;
        json error { { "message", message }, { "type", toText(problem.reason) },
            { "execution", toText(problem.execution) }, { "request_id", request.text() } };
        if (problem.retryAfter.count() > 0)
            error["retry_after_ms"] = problem.retryAfter.count();
        return { { "error", error } };
    }

    std::string serialize(const json& body)
    {
        return body.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    bool isChat(const Request& request)
    {
        return request.caller.submit.kind == protocol::WorkKind::ChatCompletion;
    }

    json completionObject(const Request& request, std::string_view chatObject)
    {
        return { { "id", request.id().text() },
            { "object", isChat(request) ? chatObject : std::string_view("text_completion") },
            { "model", request.caller.model.text() } };
    }

} // namespace

transport::HttpResponse errorResponse(const Problem& problem, const RequestId& request)
{
    transport::HttpResponse response = transport::jsonResponse(
        statusOf(problem.reason).status, serialize(errorBody(problem, request)));
    if (!request.empty())
        response.headers["X-Request-Id"] = request.text();
    if (problem.retryAfter.count() > 0) {
        constexpr int64_t MsPerSecond = 1000;
        const int64_t seconds = (problem.retryAfter.count() + MsPerSecond - 1) / MsPerSecond;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

std::string errorEvent(const Problem& problem, const RequestId& request)
{
    return "data: " + serialize(errorBody(problem, request)) + "\n\n";
}

std::string tokenEvent(const Request& request, uint32_t offset, std::string_view text)
{
    json body = completionObject(request, "chat.completion.chunk");
    json choice { { "index", 0 }, { "finish_reason", nullptr } };
    if (isChat(request))
        choice["delta"] = { { "content", text } };
    else
        choice["text"] = text;
    body["choices"] = json::array({ choice });
    return "id: " + request.id().text() + "/" + request.target.text() + "/"
        + std::to_string(offset + 1) + "\ndata: " + serialize(body) + "\n\n";
}

std::string finalEvents(const Request& request)
{
    json body = completionObject(request, "chat.completion.chunk");
    json choice { { "index", 0 }, { "finish_reason", "stop" } };
    if (isChat(request))
        choice["delta"] = json::object();
    else
        choice["text"] = "";
    body["choices"] = json::array({ choice });
    body["usage"] = { { "prompt_tokens", request.caller.submit.promptTokens },
        { "completion_tokens", request.answer.nextOffset() } };
    return "data: " + serialize(body) + "\n\ndata: [DONE]\n\n";
}

transport::HttpResponse completeResponse(const Request& request)
{
    transport::HttpResponse response;
    if (request.isServiceCall()) {
        response = transport::jsonResponse(request.final->httpStatus, request.final->body);
        if (request.final->replayed)
            response.headers["Idempotency-Replayed"] = "true";
    } else {
        json body = completionObject(request, "chat.completion");
        json choice { { "index", 0 }, { "finish_reason", "stop" } };
        if (isChat(request))
            choice["message"] = { { "role", "assistant" }, { "content", request.text } };
        else
            choice["text"] = request.text;
        body["choices"] = json::array({ choice });
        body["usage"] = { { "prompt_tokens", request.caller.submit.promptTokens },
            { "completion_tokens", request.answer.nextOffset() } };
        response = transport::jsonResponse(200, serialize(body));
    }
    response.headers["X-Request-Id"] = request.id().text();
    return response;
}

transport::HttpResponse modelListResponse(const settings::Tier& tier)
{
    json models = json::array();
    for (const ModelId& model : tier.models) {
        models.push_back(
            { { "id", model.text() }, { "object", "model" }, { "owned_by", "citronspoke" } });
    }
    return transport::jsonResponse(200, json { { "object", "list" }, { "data", models } }.dump());
}

} // namespace citronspoke::entry
