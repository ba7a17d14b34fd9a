#include "ResponseDecoder.h"

#include "telemetry/Telemetry.h"

namespace citronspoke::storefeed {

namespace {

    /** Smaller responses are decoded within a millisecond. */
    constexpr size_t LargeResponseBytes = 32768;
    /** One response at a time is wanted; cancelled ones may still be queued. */
    constexpr size_t QueuedResponses = 4;

} // namespace

ResponseDecoder::ResponseDecoder(channels::EventLoop& loop)
    : m_loop(loop)
    , m_jobs(QueuedResponses)
{
}

ResponseDecoder::~ResponseDecoder()
{
    m_jobs.close();
    if (m_worker.joinable())
        m_worker.join();
}

void ResponseDecoder::decode(Kind kind, const StoreResponse& response, Handler handler)
{
    if (response.body.size() < LargeResponseBytes || !startWorker()) {
        handler(decodeNow(kind, response));
        return;
    }
    m_handler = std::make_shared<Handler>(std::move(handler));
    if (m_jobs.tryPush(std::make_shared<Job>(Job { kind, response, m_handler })))
        return;
    const std::shared_ptr<Handler> refused = std::exchange(m_handler, nullptr);
    (*refused)({ response.era, std::nullopt, "Too many responses are being decoded." });
}

ResponseDecoder::Result ResponseDecoder::decodeNow(Kind kind, const StoreResponse& response)
{
    Result result { response.era, std::nullopt, {} };
    try {
        if (kind == Kind::Range)
            result.value = adapter::decodeRange(response.status, response.body, response.era);
        else
            result.value = adapter::decodeWatch(response.status, response.body, response.era);
    } catch (const Error& error) {
        result.problem = error.describe();
    } catch (const std::exception& exception) {
        telemetry::reportUnexpected("store response", exception);
        result.problem = exception.what();
    }
    return result;
}

bool ResponseDecoder::startWorker()
{
    try {
        if (!m_worker.joinable())
            m_worker = std::jthread([this] { runWorker(); });
        return true;
    } catch (const std::system_error& error) {
        telemetry::logWarning("store", "Decoding a large response on the event loop's thread.",
            { { "cause", error.what() } });
        return false;
    }
}

void ResponseDecoder::runWorker()
{
    constexpr Milliseconds Wait { 1000 };
    std::deque<std::shared_ptr<Job>> jobs;
    while (m_jobs.popAll(jobs, Wait)) {
        for (const std::shared_ptr<Job>& job : jobs) {
            const std::shared_ptr<Result> result
                = std::make_shared<Result>(decodeNow(job->kind, job->response));
            // Only the event loop locks the handler, so that it is not destroyed on this thread.
            m_loop.post([result, handler = job->handler] {
                if (const std::shared_ptr<Handler> wanted = handler.lock())
                    (*wanted)(std::move(*result));
            });
        }
    }
}

} // namespace citronspoke::storefeed
