#include "TargetClient.h"

#include <nlohmann/json.hpp>

namespace citronspoke::agent {

namespace {

    using nlohmann::json;

    constexpr uint32_t HttpOk = 200;
    constexpr size_t MaxEventBytes = size_t { 1 } << 20;
    /** Of a service's response; as large as the largest request. */
    constexpr size_t MaxBodyBytes = size_t { 16 } << 20;

    /** Parses the stream of one completion: server-sent events with one token each. */
    struct CompletionStream {
        RequestId request;
        transport::StreamId id;
        std::string buffer;
        bool isComplete = false;

        /** @return false when an event is larger than any that engines send. */
        bool feed(std::string_view data, const std::function<void(TokenArrived)>& onToken)
        {
            buffer.append(data);
            size_t begin = 0;
            for (size_t end = buffer.find("\n\n"); end != std::string::npos;
                 end = buffer.find("\n\n", begin)) {
                parseEvent(std::string_view(buffer).substr(begin, end - begin), onToken);
                begin = end + 2;
            }
            buffer.erase(0, begin);
            return buffer.size() <= MaxEventBytes;
        }

        void parseEvent(std::string_view event, const std::function<void(TokenArrived)>& onToken)
        {
            constexpr std::string_view Prefix = "data: ";
            if (!event.starts_with(Prefix))
                return;
            event.remove_prefix(Prefix.size());
            if (event == "[DONE]") {
                isComplete = true;
                return;
            }
            const json body = json::parse(event, nullptr, false);
            if (body.is_discarded() || !body.contains("choices") || !body.contains("offset"))
                return;
            onToken({ request, id, body.at("offset").get<uint32_t>(),
                body.at("choices").at(0).value("text", "") });
        }
    };

} // namespace

TargetClient::TargetClient(std::string target, Callbacks callbacks)
    : m_targetUrl(std::move(target))
    , m_callbacks(std::move(callbacks))
{
}

transport::StreamId TargetClient::start(const Job& job)
{
    return job.isServiceCall() ? startServiceCall(job) : startCompletion(job);
}

void TargetClient::cancel(transport::StreamId stream) { m_client.cancel(stream); }

transport::StreamId TargetClient::startCompletion(const Job& job)
{
    json body = json::parse(job.submit.body);
    body["stream"] = true;
    body["priority"] = static_cast<int>(job.submit.workClass);
    body["resume_from"] = job.nextOffset();
    transport::HttpRequest request;
    request.method = "POST";
    request.target = m_targetUrl + job.submit.path;
    request.headers["content-type"] = "application/json";
    request.body = body.dump();
    auto stream = std::make_shared<CompletionStream>();
    stream->request = job.submit.request;
    const bool isRepeatable = true;
    transport::StreamClient::Callbacks callbacks;
    callbacks.onData
        = [this, stream](std::string_view data) { return stream->feed(data, m_callbacks.onToken); };
    callbacks.onEnd = [this, stream](const transport::StreamEnd& end) {
        m_callbacks.onEnd({ stream->request, stream->id, end, stream->isComplete, {} });
    };
    return m_client.start(std::move(request), isRepeatable, std::move(callbacks),
        [stream](transport::StreamId id) { stream->id = id; });
}

transport::StreamId TargetClient::startServiceCall(const Job& job)
{
    struct ServiceCall {
        RequestId request;
        transport::StreamId id;
        std::string body;
    };
    transport::HttpRequest request;
    request.method = job.submit.method;
    request.target = m_targetUrl + job.submit.path;
    request.headers["content-type"] = "application/json";
    const bool isRepeatable = job.submit.key.empty();
    if (!isRepeatable)
        request.headers["idempotency-key"] = job.submit.key.text();
    request.body = job.submit.body;
    auto call = std::make_shared<ServiceCall>();
    call->request = job.submit.request;
    transport::StreamClient::Callbacks callbacks;
    callbacks.onData = [call](std::string_view data) {
        call->body.append(data);
        return call->body.size() <= MaxBodyBytes;
    };
    callbacks.onEnd = [this, call](const transport::StreamEnd& end) {
        const bool isComplete = end.complete && end.status >= HttpOk;
        m_callbacks.onEnd({ call->request, call->id, end, isComplete, std::move(call->body) });
    };
    return m_client.start(std::move(request), isRepeatable, std::move(callbacks),
        [call](transport::StreamId id) { call->id = id; });
}

} // namespace citronspoke::agent
