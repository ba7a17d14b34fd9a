#include "FakeEngine.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:8000", "IP:PORT to serve on.");
ABSL_FLAG(double, step_ms, 4, "Duration of a step with an empty batch, in milliseconds.");
ABSL_FLAG(uint32_t, slots, 16, "Streams in a batch at the same time.");
ABSL_FLAG(uint64_t, cache_tokens, 200000, "Capacity of the KV cache, in tokens.");
ABSL_FLAG(std::string, role, "mixed", "Role at the start: mixed, prefill or decode.");
ABSL_FLAG(bool, check_fencing, true, "Refuse orders with an old fencing number.");
ABSL_FLAG(int, change_ms, 2000, "Duration of a change of role, in milliseconds.");
ABSL_FLAG(int, crash_ms, 1000,
    "Time for which the engine is unreachable after a crash, in milliseconds.");

int main(int argc, char** argv)
{
    using namespace citronspoke;
    absl::ParseCommandLine(argc, argv);
    blockTerminationSignals();
    try {
        fakes::EngineOptions options;
        options.listen = absl::GetFlag(FLAGS_listen);
        options.timing.stepMs = absl::GetFlag(FLAGS_step_ms);
        options.slots = absl::GetFlag(FLAGS_slots);
        options.cacheTokens = absl::GetFlag(FLAGS_cache_tokens);
        options.role = engineRoleFromText(absl::GetFlag(FLAGS_role)).value_or(EngineRole::Mixed);
        options.checksFencing = absl::GetFlag(FLAGS_check_fencing);
        options.roleChangeDuration = Milliseconds(absl::GetFlag(FLAGS_change_ms));
        options.crashDuration = Milliseconds(absl::GetFlag(FLAGS_crash_ms));
        fakes::FakeEngine engine(options);
        const WorkerThread steps(
            "steps", [&engine](const std::stop_token& token) { engine.run(token); });
        waitForTermination();
    } catch (const Error& error) {
        std::cerr << error.describe() << '\n';
        return 1;
    }
    return 0;
}
