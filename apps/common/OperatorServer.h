#pragma once

#include "kernel/Kernel.h"

#include <functional>
#include <memory>

namespace citronspoke {

/**
 * Answers operators: /metrics for Prometheus, /events?after=CLOCK for the time line and /status
 * for what the process is doing. POST /drain asks the process to leave.
 */
class OperatorServer final : public Service {
public:
    struct Hooks {
        /** @return a JSON object. Called by a server thread. */
        std::function<std::string()> status;
        std::function<void()> drain;
    };

    /** @param address "IP:PORT". @param process the name shown with each event. */
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
