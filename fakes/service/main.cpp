#include "transport/Transport.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iostream>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, listen, "127.0.0.1:8100", "IP:PORT to serve on.");

namespace citronspoke::fakes {

namespace {

    using nlohmann::json;

    /**
     * A fake application service that counts how often each idempotency key has run. Any thread
     * may call.
     */
    class FakeService {
    public:
        void handle(const transport::HttpExchangePointer& exchange)
        {
            const transport::HttpRequest& request = exchange->request();
            if (request.target == "/history")
                return exchange->respond(transport::jsonResponse(200, history().dump()));
            const json body = json::parse(request.body, nullptr, false);
            const std::string mode = valueOf(body, "fail", "");
            if (mode == "before")
                return exchange->abort();
            std::this_thread::sleep_for(Milliseconds(valueOf(body, "delay_ms", 0)));
            const int64_t receipt = run(std::string(request.header("idempotency-key")));
            if (mode == "after")
                return exchange->abort();
            const json response { { "receipt", receipt }, { "path", request.target } };
            exchange->respond(transport::jsonResponse(200, response.dump()));
        }

    private:
        template <typename T> static T valueOf(const json& body, const char* name, T fallback)
        {
            return body.is_object() ? body.value(name, fallback) : fallback;
        }

        static std::string valueOf(const json& body, const char* name, const char* fallback)
        {
            return valueOf(body, name, std::string(fallback));
        }

        int64_t run(const std::string& key)
        {
            std::lock_guard lock(m_mutex);
            m_runsByKey[key] += 1;
            m_runs += 1;
            return m_runs;
        }

        json history()
        {
            std::lock_guard lock(m_mutex);
            return { { "runs", m_runsByKey }, { "total", m_runs } };
        }

        std::mutex m_mutex;
        std::map<std::string, int64_t> m_runsByKey;
        int64_t m_runs = 0;
    };

} // namespace

} // namespace citronspoke::fakes

int main(int argc, char** argv)
{
    using namespace citronspoke;
    absl::ParseCommandLine(argc, argv);
    blockTerminationSignals();
    try {
        fakes::FakeService service;
        constexpr size_t Threads = 8;
        const transport::HttpServer server(absl::GetFlag(FLAGS_listen), Threads,
            [&service](
                const transport::HttpExchangePointer& exchange) { service.handle(exchange); });
        waitForTermination();
    } catch (const Error& error) {
        std::cerr << error.describe() << '\n';
        return 1;
    }
    return 0;
}
