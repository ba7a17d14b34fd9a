#pragma once

#include "storefeed/StoreFeed.h"

#include <thread>

namespace citronspoke::storefeed {

/**
 * Decodes responses of the store. Large ones, such as those with a declaration of many
 * organisations, take longer than the event loop may be blocked and are decoded on a thread of
 * their own. Used by the event loop's thread only.
 */
class ResponseDecoder {
public:
    /** What was requested. */
    enum class Kind : uint8_t { Range, Watch };
    struct Result {
        adapter::StoreEra era;
        /** None when the response is unreadable or a refusal. */
        std::optional<std::variant<adapter::RangePage, adapter::WatchResult>> value;
        std::string problem;
    };
    using Handler = std::function<void(Result)>;

    explicit ResponseDecoder(channels::EventLoop& loop);
    ~ResponseDecoder();
    ResponseDecoder(const ResponseDecoder&) = delete;
    ResponseDecoder& operator=(const ResponseDecoder&) = delete;

    /** @param handler called once, at once for small responses, unless cancel() is called before.
     */
    void decode(Kind kind, const StoreResponse& response, Handler handler);
    /** Drops the response that is being decoded, if any. */
    void cancel() { m_handler.reset(); }

private:
    struct Job {
        Kind kind = Kind::Range;
        StoreResponse response;
        std::weak_ptr<Handler> handler;
    };

    static Result decodeNow(Kind kind, const StoreResponse& response);
    /** @return whether the worker runs; the system may allow no further thread. */
    bool startWorker();
    void runWorker();

    channels::EventLoop& m_loop;
    /** Of the response that is being decoded; its owner decides whether it is still called. */
    std::shared_ptr<Handler> m_handler;
    BoundedQueue<std::shared_ptr<Job>> m_jobs;
    /** Started with the first large response. */
    std::jthread m_worker;
};

} // namespace citronspoke::storefeed
