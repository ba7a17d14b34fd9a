#include "LoadGenerator.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <random>

namespace citronspoke::load {

namespace {

    constexpr size_t CharactersPerToken = 4;
    constexpr std::chrono::seconds ResponseLimit { 60 };

    struct Arrival {
        Milliseconds time { 0 };
        size_t kind = 0;
        uint64_t number = 0;
    };

    std::vector<Arrival> scheduleArrivals(const Plan& plan)
    {
        std::mt19937_64 random(plan.seed);
        std::vector<Arrival> arrivals;
        double begin = 0;
        for (const Phase& phase : plan.phases) {
            const double end = begin + static_cast<double>(phase.duration.count());
            for (size_t kind = 0; kind < plan.kinds.size(); ++kind) {
                if (phase.rates[kind] <= 0)
                    continue;
                constexpr double MsPerSecond = 1000;
                std::exponential_distribution<double> gap(phase.rates[kind] / MsPerSecond);
                for (double at = begin + gap(random); at < end; at += gap(random))
                    arrivals.push_back({ Milliseconds(static_cast<int64_t>(at)), kind, random() });
            }
            begin = end;
        }
        std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& left, const Arrival& right) { return left.time < right.time; });
        return arrivals;
    }

    std::string makePrompt(const RequestKind& kind, uint64_t number)
    {
        std::string prompt;
        if (kind.sharedPrefixes > 0) {
            std::string unit = "guide " + std::to_string(number % kind.sharedPrefixes) + " ";
            while (prompt.size() < kind.sharedPrefixTokens * CharactersPerToken)
                prompt += unit;
        }
        const std::string unit = std::to_string(number) + " ";
        while (prompt.size() < kind.promptTokens * CharactersPerToken)
            prompt += unit;
        prompt.resize(kind.promptTokens * CharactersPerToken);
        return prompt;
    }

    /** The state of all requests. After the first is sent, only the client's thread changes it. */
    struct RunState {
        const Plan& plan;
        std::vector<KindResult> results;
        std::atomic<size_t> unfinished { 0 };
    };

    struct SentRequest {
        RunState* run = nullptr;
        size_t kind = 0;
        SteadyTime sentAt;
        SteadyTime lastToken;
        std::string body;
        bool isComplete = false;

        void noteData(std::string_view data)
        {
            const SteadyTime now = steadyNow();
            KindResult& result = run->results[kind];
            if (data.find("\"text\":\" ") != std::string_view::npos) {
                const std::chrono::duration<double, std::milli> sinceSent = now - sentAt;
                const std::chrono::duration<double, std::milli> gap = now - lastToken;
                if (lastToken == SteadyTime {})
                    result.firstTokenMs.push_back(sinceSent.count());
                else
                    result.tokenGapMs.push_back(gap.count());
                lastToken = now;
            }
            isComplete = isComplete || data.find("data: [DONE]") != std::string_view::npos;
            if (lastToken == SteadyTime {})
                body.append(data);
        }

        void noteEnd(const transport::StreamEnd& end)
        {
            KindResult& result = run->results[kind];
            const RequestKind& requestKind = run->plan.kinds[kind];
            const bool isOnTime = steadyNow() - sentAt <= requestKind.deadline;
            if (isComplete && isOnTime) {
                result.onTime += 1;
                result.worth += requestKind.worth;
            } else if (isComplete) {
                result.late += 1;
            } else if (lastToken != SteadyTime {}) {
                result.broken += 1;
            } else if (end.status == 0) {
                result.refused["no_connection"] += 1;
            } else {
                result.refused[refusalReason()] += 1;
            }
            run->unfinished -= 1;
        }

        std::string refusalReason() const
        {
            const nlohmann::json response = nlohmann::json::parse(body, nullptr, false);
            const bool isError = response.is_object() && response.contains("error");
            return isError ? response["error"].value("type", "unknown") : "unknown";
        }
    };

    void send(transport::StreamClient& client, RunState& run, const Arrival& arrival,
        const std::string& entry)
    {
        const RequestKind& kind = run.plan.kinds[arrival.kind];
        transport::HttpRequest request;
        request.method = "POST";
        request.target = entry + "/v1/completions";
        request.headers["authorization"] = "Bearer " + kind.bearerKey;
        request.headers["x-deadline-ms"] = std::to_string(kind.deadline.count());
        request.body = nlohmann::json {
            { "model", kind.model }, { "prompt", makePrompt(kind, arrival.number) },
            { "max_tokens", kind.outputTokens }, { "stream", true }
        }.dump();
        auto sent = std::make_shared<SentRequest>();
        sent->run = &run;
        sent->kind = arrival.kind;
        sent->sentAt = steadyNow();
        transport::StreamClient::Callbacks callbacks;
        callbacks.onData = [sent](std::string_view data) {
            sent->noteData(data);
            return true;
        };
        callbacks.onEnd = [sent](const transport::StreamEnd& end) { sent->noteEnd(end); };
        client.start(std::move(request), true, std::move(callbacks));
    }

} // namespace

double percentile(std::vector<double> samples, double share)
{
    if (samples.empty())
        return 0;
    const size_t rank = std::min(
        samples.size() - 1, static_cast<size_t>(share * static_cast<double>(samples.size())));
    std::nth_element(
        samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(rank), samples.end());
    return samples[rank];
}

std::vector<KindResult> run(const Plan& plan, std::span<const std::string> entries)
{
    RunState state { plan, {} };
    for (const RequestKind& kind : plan.kinds) {
        KindResult result;
        result.name = kind.name;
        result.isTrial = kind.isTrial;
        state.results.push_back(std::move(result));
    }
    const std::vector<Arrival> arrivals = scheduleArrivals(plan);
    for (const Arrival& arrival : arrivals)
        state.results[arrival.kind].sent += 1;
    state.unfinished = arrivals.size();
    transport::StreamClient client;
    const SteadyTime begin = steadyNow();
    size_t next = 0;
    for (const Arrival& arrival : arrivals) {
        std::this_thread::sleep_until(begin + arrival.time);
        send(client, state, arrival, entries[next++ % entries.size()]);
    }
    constexpr Milliseconds CheckInterval { 50 };
    const SteadyTime end = steadyNow() + ResponseLimit;
    while (state.unfinished > 0 && steadyNow() < end)
        std::this_thread::sleep_for(CheckInterval);
    return state.results;
}

double goodput(std::span<const KindResult> results, bool trials)
{
    double total = 0;
    for (const KindResult& result : results)
        total += result.isTrial == trials ? result.worth : 0;
    return total;
}

} // namespace citronspoke::load
