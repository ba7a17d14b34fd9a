#include "Controller.h"
#include "OperatorServer.h"
#include "PlatformPoller.h"
#include "telemetry/Telemetry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <atomic>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "The process's settings file (TOML).");
ABSL_FLAG(bool, verbose, false, "Log debug messages too.");
ABSL_FLAG(std::string, stop_at, "", "Failure points to stop at; test builds only.");

namespace {

using namespace citronspoke;

/** Runs the HTTP server for callers as a service of the kernel. */
class CallerServer final : public Service {
public:
    CallerServer(const settings::EntrySettings& settings, entry::CallerApi api)
        : m_settings(settings)
        , m_api(std::move(api))
    {
    }
    std::string_view name() const noexcept override { return "callers"; }
    void start() override
    {
        m_server = std::make_unique<transport::HttpServer>(m_settings.callerAddress,
            m_settings.httpThreads,
            [this](const transport::HttpExchangePointer& exchange) { m_api.handle(exchange); });
    }
    void stop() override { m_server.reset(); }

private:
    const settings::EntrySettings& m_settings;
    entry::CallerApi m_api;
    std::unique_ptr<transport::HttpServer> m_server;
};

// /healthz reports "leaving" at once. New requests are served until the balancer has had time to
// notice.
void leaveGracefully(entry::Router& router, std::atomic<bool>& isLeaving)
{
    constexpr Milliseconds BalancerNotice { 2000 };
    constexpr Milliseconds CheckInterval { 50 };
    isLeaving = true;
    std::this_thread::sleep_for(BalancerNotice);
    router.stopAdmitting();
    while (!router.isIdle())
        std::this_thread::sleep_for(CheckInterval);
    std::this_thread::sleep_for(CheckInterval);
}

void serve(const settings::EntrySettings& settings)
{
    const platform::Store store(platform::EtcdBackend { settings.process.store });
    control::ConfigHolder config;
    std::atomic<bool> isLeaving { false };
    Kernel kernel;
    entry::Router& router = kernel.add(std::make_unique<entry::Router>(settings, config));
    kernel.add(std::make_unique<entry::PlatformPoller>(settings, store, config, router));
    kernel.add(std::make_unique<entry::Controller>(settings, store, config, router));
    kernel.add(
        std::make_unique<OperatorServer>(settings.process.operatorAddress, settings.process.id,
            OperatorServer::Hooks {
                [&router] { return router.status(); }, [] { requestTermination(); } }));
    entry::CallerApi::Hooks hooks;
    hooks.onRequest = [&router](entry::CallerRequest request) { router.post(std::move(request)); };
    hooks.onAttach = [&router](entry::AttachRequest attach) { router.post(std::move(attach)); };
    hooks.isLeaving = [&isLeaving] { return isLeaving.load(); };
    kernel.add(std::make_unique<CallerServer>(settings,
        entry::CallerApi(
            config, EntryId(settings.process.id), settings.process.mailbox, std::move(hooks))));
    kernel.start();
    telemetry::logInfo("entry", "Entry started.", { { "callers", settings.callerAddress } });
    waitForTermination();
    telemetry::logInfo("entry", "Entry is shutting down.");
    leaveGracefully(router, isLeaving);
    kernel.stop();
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "The citronspoke entry: serves callers over HTTP and controls engine roles.\n"
        "  citronspoke-entry --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    blockTerminationSignals();
    telemetry::configureLogging(absl::GetFlag(FLAGS_verbose));
    armFailurePoints(absl::GetFlag(FLAGS_stop_at));
    try {
        serve(settings::parseEntrySettings(settings::readFile(absl::GetFlag(FLAGS_settings))));
    } catch (const Error& error) {
        std::cerr << "citronspoke-entry: " << error.describe() << '\n';
        return 1;
    }
    return 0;
}
