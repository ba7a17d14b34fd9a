#include "LoadGenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <iostream>

ABSL_FLAG(std::string, entries, "http://127.0.0.1:8080",
    "Base URLs of the entries, separated by commas.");
ABSL_FLAG(std::string, key, "", "Bearer key of the requests.");
ABSL_FLAG(std::string, model, "", "Model that the requests name.");
ABSL_FLAG(uint32_t, prompt_tokens, 200, "Length of each prompt in tokens.");
ABSL_FLAG(uint32_t, output_tokens, 40, "Maximum number of tokens of each response.");
ABSL_FLAG(double, rate, 10, "Mean arrival rate in requests a second.");
ABSL_FLAG(int, seconds, 10, "Duration of sending in seconds.");
ABSL_FLAG(int, deadline_ms, 3000, "Deadline of each request in milliseconds.");

int main(int argc, char** argv)
{
    using namespace citronspoke;
    absl::ParseCommandLine(argc, argv);
    load::Plan plan;
    load::RequestKind kind;
    kind.name = "requests";
    kind.bearerKey = absl::GetFlag(FLAGS_key);
    kind.model = absl::GetFlag(FLAGS_model);
    kind.promptTokens = absl::GetFlag(FLAGS_prompt_tokens);
    kind.outputTokens = absl::GetFlag(FLAGS_output_tokens);
    kind.deadline = Milliseconds(absl::GetFlag(FLAGS_deadline_ms));
    plan.kinds = { kind };
    plan.phases
        = { { std::chrono::seconds(absl::GetFlag(FLAGS_seconds)), { absl::GetFlag(FLAGS_rate) } } };
    const std::vector<std::string> entries = absl::StrSplit(absl::GetFlag(FLAGS_entries), ',');
    const load::KindResult result = load::run(plan, entries).front();
    std::cout << "sent " << result.sent << ", on time " << result.onTime << ", late " << result.late
              << ", broken " << result.broken << '\n';
    for (const auto& [reason, count] : result.refused)
        std::cout << "refused " << reason << ": " << count << '\n';
    constexpr double High = 0.95;
    std::cout << "first token p50 " << load::percentile(result.firstTokenMs, 0.5) << " ms, p95 "
              << load::percentile(result.firstTokenMs, High) << " ms; between tokens p50 "
              << load::percentile(result.tokenGapMs, 0.5) << " ms, p95 "
              << load::percentile(result.tokenGapMs, High) << " ms\n";
    return 0;
}
