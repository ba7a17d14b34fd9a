#pragma once

#include "LocalFleet.h"

#include <nlohmann/json.hpp>

namespace citronspoke::tests {

/** @return options for a fleet whose work folder, in the build folder, has the name of the test. */
localfleet::FleetOptions smallFleet(const std::string& name);

/** Bearer keys of organisations in the example deployment. */
extern const std::string LookupKey;
extern const std::string ReviewKey;
extern const std::string TrialKey;

/** A response as the caller received it; status 0 when the connection was cut. */
struct Response {
    uint32_t status = 0;
    nlohmann::json body;
    bool isReplayed = false;
    std::string retryAfter;

    /** @return the error's "not_run", "may_have_run" or "completed"; empty without an error. */
    std::string execution() const;
    std::string errorType() const;
};

/** A streamed response, as far as the caller received it. */
struct StreamedResponse {
    std::vector<std::string> tokens;
    bool isComplete = false;
    std::string lastEventId;
    nlohmann::json error;
};

using Headers = std::map<std::string, std::string, std::less<>>;

/** Calls the service "receipts"; with an empty @p key, no idempotency key is sent. */
Response callService(const std::string& entryUrl, const std::string& key, const std::string& body,
    const std::string& path = "/quotes");
Response requestCompletion(const std::string& entryUrl, const nlohmann::json& body,
    const std::string& bearer = LookupKey, const Headers& headers = {});
StreamedResponse stream(const std::string& entryUrl, nlohmann::json body,
    const std::string& bearer = LookupKey, const Headers& headers = {},
    const std::function<bool(const StreamedResponse&)>& onToken = {});
/** @return the JSON that an operator port or a fake serves; null when the call failed. */
nlohmann::json fetchJson(const std::string& url);

nlohmann::json completionBody(const std::string& prompt, uint32_t tokens);
/** @return the tokens that every fake engine generates for a prompt. */
std::vector<std::string> expectedTokens(const std::string& prompt, uint32_t tokens);

/** @return the brokers' first key numbered from @p first whose calls go to @p target. */
std::string keyFor(
    const std::string& target, const std::vector<std::string>& targets, int first = 0);

/** Polls a condition for up to a minute. @return whether it became true. */
bool eventually(const std::function<bool()>& condition);

} // namespace citronspoke::tests
