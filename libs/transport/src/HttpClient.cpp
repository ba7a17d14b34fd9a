#include "transport/Transport.h"

#include <curl/curl.h>

namespace citronspoke::transport {

namespace {

    constexpr long ConnectTimeoutMs = 1000;
    /** Largest body that callHttp collects. */
    constexpr size_t MaxBodyBytes = size_t { 16 } << 20;

    struct CurlGlobal {
        CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    };

    struct EasyDeleter {
        void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
    };
    using EasyHandle = std::unique_ptr<CURL, EasyDeleter>;

    struct HeaderDeleter {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };
    using HeaderList = std::unique_ptr<curl_slist, HeaderDeleter>;

    void ensureInitialised() { static const CurlGlobal global; }

    using DataCallback = std::function<bool(std::string_view)>;

    size_t forwardBody(char* data, size_t size, size_t count, void* callback)
    {
        const std::string_view text(data, size * count);
        const bool shouldContinue = (*static_cast<DataCallback*>(callback))(text);
        return shouldContinue ? text.size() : 0;
    }

    size_t storeHeader(char* data, size_t size, size_t count, void* headers)
    {
        const std::string_view line(data, size * count);
        const size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            return line.size();
        std::string name(line.substr(0, colon));
        for (char& character : name)
            character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
        const size_t first = line.find_first_not_of(' ', colon + 1);
        const size_t end = line.find_last_not_of("\r\n ");
        if (first != std::string_view::npos && end >= first)
            (*static_cast<Headers*>(headers))[name]
                = std::string(line.substr(first, end - first + 1));
        return line.size();
    }

    HeaderList configureRequest(CURL* easy, const HttpRequest& request, DataCallback& onData)
    {
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& [name, value] : request.headers) {
            std::string line = name;
            line.append(": ").append(value);
            list = curl_slist_append(list, line.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_URL, request.target.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &forwardBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &onData);
        if (!request.body.empty() || request.method == "POST") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request.body.data());
        }
        return HeaderList(list);
    }

    bool certainlyNotSent(CURLcode code)
    {
        return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST
            || code == CURLE_URL_MALFORMAT;
    }

    CURL* threadLocalHandle()
    {
        ensureInitialised();
        thread_local const EasyHandle handle(curl_easy_init());
        curl_easy_reset(handle.get());
        return handle.get();
    }

    /** @return whether HTTP has such a status for the end of a call; libcurl accepts others. */
    bool isFinalStatus(uint32_t status)
    {
        constexpr uint32_t First = 200;
        constexpr uint32_t Last = 599;
        return status >= First && status <= Last;
    }

    uint32_t statusOf(CURL* easy)
    {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        return static_cast<uint32_t>(status);
    }

} // namespace

HttpResponse callHttp(const HttpRequest& request, Milliseconds limit)
{
    CURL* easy = threadLocalHandle();
    HttpResponse response;
    DataCallback onData = [&response](std::string_view text) {
        if (response.body.size() + text.size() > MaxBodyBytes)
            return false;
        response.body.append(text);
        return true;
    };
    const HeaderList headers = configureRequest(easy, request, onData);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &storeHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &response.headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
    const CURLcode code = curl_easy_perform(easy);
    if (code != CURLE_OK)
        throw HttpFailed(request.target, curl_easy_strerror(code), !certainlyNotSent(code));
    response.status = statusOf(easy);
    if (!isFinalStatus(response.status))
        throw HttpFailed(request.target, "not an HTTP status", true);
    return response;
}

void streamHttp(const HttpRequest& request, Milliseconds limit,
    const std::function<bool(std::string_view)>& onData)
{
    CURL* easy = threadLocalHandle();
    DataCallback forward = onData;
    const HeaderList headers = configureRequest(easy, request, forward);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
    const CURLcode code = curl_easy_perform(easy);
    if (code != CURLE_OK && code != CURLE_WRITE_ERROR && code != CURLE_OPERATION_TIMEDOUT)
        throw HttpFailed(request.target, curl_easy_strerror(code), !certainlyNotSent(code));
}

struct StreamClient::Implementation {
    struct Transfer {
        StreamId id;
        EasyHandle easy;
        HeaderList headers;
        HttpRequest request;
        Callbacks callbacks;
        DataCallback onData;
    };

    CURLM* multi = nullptr;
    std::mutex mutex;
    std::vector<std::unique_ptr<Transfer>> pendingStarts;
    std::vector<StreamId> pendingCancels;
    int64_t lastId = 0;
    std::map<StreamId, std::unique_ptr<Transfer>> running;
    std::optional<WorkerThread> worker;

    void run(const std::stop_token& token)
    {
        constexpr int PollMs = 200;
        while (!token.stop_requested()) {
            applyPending();
            int active = 0;
            curl_multi_perform(multi, &active);
            reportCompleted();
            curl_multi_poll(multi, nullptr, 0, PollMs, nullptr);
        }
        while (!running.empty())
            remove(running.begin()->first);
    }

    void applyPending()
    {
        std::vector<std::unique_ptr<Transfer>> starts;
        std::vector<StreamId> cancels;
        {
            std::lock_guard lock(mutex);
            starts.swap(pendingStarts);
            cancels.swap(pendingCancels);
        }
        for (std::unique_ptr<Transfer>& transfer : starts) {
            curl_multi_add_handle(multi, transfer->easy.get());
            const StreamId id = transfer->id;
            running.emplace(id, std::move(transfer));
        }
        for (const StreamId id : cancels)
            remove(id);
    }

    void remove(StreamId id)
    {
        auto found = running.find(id);
        if (found == running.end())
            return;
        curl_multi_remove_handle(multi, found->second->easy.get());
        running.erase(found);
    }

    void reportCompleted()
    {
        int remaining = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            const CURLcode code = message->data.result;
            Transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            StreamEnd end;
            end.status = statusOf(message->easy_handle);
            end.complete = code == CURLE_OK && isFinalStatus(end.status);
            end.mayHaveArrived = !certainlyNotSent(code);
            const Callbacks callbacks = transfer->callbacks;
            remove(transfer->id);
            callbacks.onEnd(end);
        }
    }
};

StreamClient::StreamClient()
    : m_implementation(std::make_unique<Implementation>())
{
    ensureInitialised();
    Implementation& self = *m_implementation;
    self.multi = curl_multi_init();
    self.worker.emplace("http-streams", [&self](const std::stop_token& token) { self.run(token); });
}

StreamClient::~StreamClient()
{
    m_implementation->worker->requestStop();
    curl_multi_wakeup(m_implementation->multi);
    m_implementation->worker.reset();
    curl_multi_cleanup(m_implementation->multi);
}

StreamId StreamClient::start(HttpRequest request, bool repeatable, Callbacks callbacks,
    const std::function<void(StreamId)>& onStarted)
{
    auto transfer = std::make_unique<Implementation::Transfer>();
    transfer->easy.reset(curl_easy_init());
    transfer->request = std::move(request);
    transfer->callbacks = std::move(callbacks);
    Implementation::Transfer* raw = transfer.get();
    transfer->onData = [raw](std::string_view text) { return raw->callbacks.onData(text); };
    CURL* easy = transfer->easy.get();
    transfer->headers = configureRequest(easy, transfer->request, transfer->onData);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, raw);
    if (!repeatable) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    StreamId id;
    {
        std::lock_guard lock(m_implementation->mutex);
        id = StreamId(++m_implementation->lastId);
        transfer->id = id;
        if (onStarted)
            onStarted(id);
        m_implementation->pendingStarts.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_implementation->multi);
    return id;
}

void StreamClient::cancel(StreamId id)
{
    {
        std::lock_guard lock(m_implementation->mutex);
        m_implementation->pendingCancels.push_back(id);
    }
    curl_multi_wakeup(m_implementation->multi);
}

} // namespace citronspoke::transport
