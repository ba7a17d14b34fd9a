// Processor time of keys: a look-up, and the parts of the adoption of a large declaration.
#include "DeclarationAdoption.h"

#include <algorithm>
#include <benchmark/benchmark.h>

using namespace citronspoke;

namespace {

constexpr int64_t Organisations = 10000;
constexpr int KeysOfEach = 3;

std::string keyText(int64_t organisation, int key)
{
    return "key-" + std::to_string(organisation) + "-" + std::to_string(key) + "-5d3a91c7";
}

std::string documentText(int64_t organisations)
{
    std::string text = R"({"version":7,"routes":[{"name":"r1","hostname":"h","pathPrefix":"/",)"
                       R"("routeKind":"idempotent","timeoutMs":1,"service":"one"}],)"
                       R"("services":[],"tenants":[)";
    for (int64_t organisation = 0; organisation < organisations; ++organisation) {
        text += organisation > 0 ? "," : "";
        text += R"({"name":"o)" + std::to_string(organisation) + R"(","apiKeys":[)";
        for (int key = 0; key < KeysOfEach; ++key)
            text.append(key > 0 ? "," : "").append("\"" + keyText(organisation, key) + "\"");
        text += "]}";
    }
    return text + "]}";
}

http1::Headers headersWithKey(const std::string& key)
{
    http1::Headers headers;
    headers.add("Host", "h");
    headers.add("Authorization", "Token " + key);
    return headers;
}

/** From the header field of a caller's request to its organisation. */
void findOrganisationAmong(benchmark::State& state)
{
    const std::string document = documentText(state.range(0));
    const gateway::PreparedDeclaration prepared = gateway::prepareDeclaration(document);
    const http1::Headers headers = headersWithKey(keyText(state.range(0) / 2, 1));
    for (auto _ : state)
        benchmark::DoNotOptimize(prepared.keys->find(*adapter::callerKeyDigest(headers)));
}

/** What blocks the event loop if it prepares the declaration itself. */
void prepareDeclarationOf(benchmark::State& state)
{
    const std::string document = documentText(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(gateway::prepareDeclaration(document));
    state.counters["document_bytes"] = static_cast<double>(document.size());
}

/** What the event loop does with a prepared declaration: it replaces and releases the last one. */
void replaceDeclarationOf(benchmark::State& state)
{
    const std::string document = documentText(state.range(0));
    settings::GatewaySettings settings;
    channels::EventLoop loop;
    std::vector<double> milliseconds;
    gateway::PreparedDeclaration inForce = gateway::prepareDeclaration(document);
    for (auto _ : state) {
        state.PauseTiming();
        gateway::PreparedDeclaration next = gateway::prepareDeclaration(document);
        state.ResumeTiming();
        const SteadyTime start = steadyNow();
        inForce = std::move(next);
        milliseconds.push_back(
            std::chrono::duration<double, std::milli>(steadyNow() - start).count());
    }
    state.counters["longest_ms"] = *std::max_element(milliseconds.begin(), milliseconds.end());
}

/** The store's response with the declaration, as the event loop decodes it. */
void decodeStoreResponseOf(benchmark::State& state)
{
    const adapter::StoreWrite write { "op/config", documentText(state.range(0)), {}, {} };
    const std::string call = adapter::writeCall(std::span(&write, 1)).body;
    const std::string field = "\"value\":\"";
    const size_t start = call.find(field) + field.size();
    const std::string value = call.substr(start, call.find('"', start) - start);
    const std::string body = R"({"items":[{"key":"op/config","revision":4,"value":")" + value
        + R"("}],"hasMore":false,"at":4})";
    for (auto _ : state)
        benchmark::DoNotOptimize(adapter::decodeRange(200, body, adapter::StoreEra(1)));
    state.counters["body_bytes"] = static_cast<double>(body.size());
}

} // namespace

BENCHMARK(findOrganisationAmong)->Arg(10)->Arg(1000)->Arg(Organisations);
BENCHMARK(prepareDeclarationOf)->Arg(Organisations)->Unit(benchmark::kMillisecond);
BENCHMARK(replaceDeclarationOf)->Arg(Organisations)->Unit(benchmark::kMillisecond)->Iterations(30);
BENCHMARK(decodeStoreResponseOf)->Arg(Organisations)->Unit(benchmark::kMillisecond);
