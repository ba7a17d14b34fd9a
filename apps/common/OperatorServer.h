#pragma once

#include "kernel/Kernel.h"

#include <functional>
#include <memory>

namespace citronspoke {

/**
 * HTTP server for operators: /metrics for Prometheus, /events?after=CLOCK for the timeline of
 * events and /status for the state of the process. POST /drain starts draining the process.
 */
class OperatorServer final : public Service {
public:
    struct Hooks {
        /** @return the body of /status, a JSON object. Called on the server thread. */
        std::function<std::string()> status;
        /** Starts draining the process. Called on the server thread. */
        std::function<void()> drain;
    };

    /** @param address "IP:PORT" to listen on. @param process name of the process in each event. */
    OperatorServer(std::string address, std::string process, Hooks hooks);
    ~OperatorServer() override;

    std::string_view name() const noexcept override { return "operator"; }
    /** @throws transport::ListenFailed */
    void start() override;
    void stop() override;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace citronspoke
