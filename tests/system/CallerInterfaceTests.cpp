#include "Callers.h"

#include <criterion/criterion.h>
#include <future>

using namespace citronspoke;
using namespace citronspoke::tests;

namespace {

localfleet::FleetOptions plainFleet(const std::string& name)
{
    localfleet::FleetOptions options = smallFleet(name);
    options.targets = { "e-1", "a-1" };
    options.entries = 1;
    options.extraFiles = { { "70-limits.toml", "[tier.comparison]\nconcurrent_requests = 1\n" } };
    return options;
}

Response send(const localfleet::LocalFleet& fleet, const std::string& path, const std::string& body,
    const std::string& bearer = LookupKey, const std::string& deadline = "")
{
    transport::HttpRequest request;
    request.method = "POST";
    request.target = fleet.callerUrl(1) + path;
    request.headers["authorization"] = "Bearer " + bearer;
    if (!deadline.empty())
        request.headers["x-deadline-ms"] = deadline;
    request.body = body;
    const transport::HttpResponse response = transport::callHttp(request, Milliseconds(30000));
    Response result;
    result.status = response.status;
    result.body = nlohmann::json::parse(response.body, nullptr, false);
    auto retryAfter = response.headers.find("retry-after");
    if (retryAfter != response.headers.end())
        result.retryAfter = retryAfter->second;
    return result;
}

void expectError(const Response& result, uint32_t status, const std::string& type)
{
    cr_assert_eq(result.status, status, "%s", result.body.dump().c_str());
    cr_assert_eq(result.errorType(), type, "%s", result.body.dump().c_str());
    cr_assert_eq(result.execution(), "not_run");
}

} // namespace

Test(caller_interface, invalid_requests_get_the_matching_error)
{
    localfleet::LocalFleet fleet(plainFleet("callers-bad-input"));
    fleet.startAll();
    const std::string good = completionBody("Clause 7", 5).dump();
    expectError(send(fleet, "/v1/completions", "{\"model\":"), 400, "malformed_request");
    expectError(send(fleet, "/v1/completions", "[]"), 400, "malformed_request");
    expectError(send(fleet, "/v1/completions", R"({"model":"dossier"})"), 400, "malformed_request");
    expectError(
        send(fleet, "/v1/completions", R"({"model":"dossier","prompt":"x","max_tokens":-1})"), 400,
        "malformed_request");
    expectError(send(fleet, "/v1/chat/completions", R"({"model":"dossier","messages":[3]})"), 400,
        "malformed_request");
    expectError(send(fleet, "/v1/completions", good, LookupKey, "soon"), 400, "malformed_request");
    expectError(send(fleet, "/v1/completions", good, "wrong"), 401, "unknown_key");
    expectError(send(fleet, "/v1/services/receipts/x", "{}", TrialKey), 403, "model_not_allowed");
    expectError(
        send(fleet, "/v1/completions", R"({"model":"none","prompt":"x"})"), 404, "unknown_model");
    expectError(send(fleet, "/v1/nowhere", "{}"), 404, "unknown_model");
    const std::string large(3 << 20, 'x');
    expectError(
        send(fleet, "/v1/completions", completionBody(large, 5).dump()), 413, "body_too_large");
    expectError(send(fleet, "/v1/completions", completionBody("x", 5000).dump(), LookupKey, "50"),
        422, "deadline_too_short");
    cr_assert_eq(send(fleet, "/v1/completions", good).status, 200);
}

Test(caller_interface, chat_and_completion_responses_match_the_api_schema)
{
    localfleet::LocalFleet fleet(plainFleet("callers-shape"));
    fleet.startAll();
    const Response completion
        = send(fleet, "/v1/completions", completionBody("Clause 7", 5).dump());
    std::string text;
    for (const std::string& token : expectedTokens("Clause 7", 5))
        text += token;
    cr_assert_eq(completion.body["choices"][0]["text"].get<std::string>(), text);
    cr_assert_eq(completion.body["usage"]["completion_tokens"].get<int>(), 5);
    const Response chat = send(fleet, "/v1/chat/completions",
        R"({"model":"dossier","messages":[{"role":"user","content":"Hello"}],"max_tokens":3})");
    cr_assert_eq(chat.body["object"].get<std::string>(), "chat.completion");
    cr_assert_eq(chat.body["choices"][0]["message"]["role"].get<std::string>(), "assistant");
}

Test(caller_interface, an_organisation_over_its_limit_gets_429_with_retry_after)
{
    localfleet::LocalFleet fleet(plainFleet("callers-limit"));
    fleet.startAll();
    const std::string key = "rahbar-comparison-key";
    std::future<Response> first = std::async(std::launch::async,
        [&] { return send(fleet, "/v1/completions", completionBody("Long", 600).dump(), key); });
    cr_assert(eventually(
        [&fleet] { return fetchJson(fleet.operatorUrl("entry:1") + "/status")["requests"] == 1; }));
    const Response second = send(fleet, "/v1/completions", completionBody("Short", 5).dump(), key);
    expectError(second, 429, "limit_exceeded");
    cr_assert_not(second.retryAfter.empty());
    cr_assert_eq(first.get().status, 200);
}

Test(caller_interface, a_process_whose_port_is_taken_exits_with_an_error_message)
{
    localfleet::LocalFleet fleet(plainFleet("callers-port-taken"));
    fleet.startAll();
    constexpr int FailureStatus = 1;
    cr_assert_eq(fleet.startSecond("entry:1", "second.log").value_or(-1), FailureStatus);
    const std::string log = settings::readFile(fleet.workFolder() + "/second.log").text;
    cr_assert_neq(log.find("Cannot listen on"), std::string::npos, "%s", log.c_str());
}
