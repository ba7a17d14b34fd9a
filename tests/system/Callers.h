#pragma once

#include "LocalFleet.h"

#include <nlohmann/json.hpp>

namespace citronspoke::tests {

/** A fleet in a folder of its own under the build folder, named after the test. */
localfleet::FleetOptions smallFleet(const std::string& name);

/** The demonstration's bearer keys, by organisation. */
extern const std::string LookupKey;
extern const std::string ReviewKey;
extern const std::string TrialKey;

/** One answer as a caller sees it. */
struct Answer {
    uint32_t status = 0;
    nlohmann::json body;
    bool isReplayed = false;
    std::string retryAfter;

    /** @return "not_run", "may_have_run" or "completed" of an error; empty otherwise. */
    std::string execution() const;
    std::string errorType() const;
};

/** One streamed answer. */
struct StreamedAnswer {
    std::vector<std::string> tokens;
    bool isWhole = false;
    std::string lastEventId;
    nlohmann::json error;
};

using Headers = std::map<std::string, std::string, std::less<>>;

/** @return the answer; status 0 when the connection was cut. */
Answer callService(const std::string& entryUrl, const std::string& key, const std::string& body,
    const std::string& path = "/quotes");
Answer complete(const std::string& entryUrl, const nlohmann::json& body,
    const std::string& bearer = LookupKey, const Headers& headers = {});
StreamedAnswer stream(const std::string& entryUrl, nlohmann::json body,
    const std::string& bearer = LookupKey, const Headers& headers = {},
    const std::function<bool(const StreamedAnswer&)>& onToken = {});
/** @return the answer of an operator port or a stand-in. */
nlohmann::json ask(const std::string& url);

nlohmann::json completionBody(const std::string& prompt, uint32_t tokens);
/** @return the tokens that any engine gives for a prompt. */
std::vector<std::string> expectedTokens(const std::string& prompt, uint32_t tokens);

/** @return a key of the brokers, with a number from @p first on, whose calls go to @p target. */
std::string keyFor(
    const std::string& target, const std::vector<std::string>& targets, int first = 0);

/** Waits for a condition, for a minute at most. */
bool eventually(const std::function<bool()>& condition);

} // namespace citronspoke::tests
