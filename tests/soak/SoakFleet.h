#pragma once

#include "FaultProxy.h"
#include "PortPicker.h"
#include "SoakCaller.h"
#include "SoakProcess.h"
#include "SoakTarget.h"

namespace citronspoke::soak {

struct SoakOptions {
    uint64_t seed = 1;
    size_t gateways = 3;
    size_t engines = 4;
    size_t applications = 2;
    size_t callers = 6;
    Milliseconds length { 5000 };
    /** Only stops, reloads, declarations and leaving targets, which may cut no request. */
    bool isPlannedOnly = false;
    /** Also checks promises with a time bound; meant for a machine that is not busy. */
    bool isTimed = false;
    /** Takes settings and logs. */
    std::string folder;
    /** Where the programs are. */
    std::string programs;
};

/** Something that goes wrong, or is planned, for a while. */
struct Fault {
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
    Milliseconds duration { 0 };
};

/**
 * The real programs as processes of their own, with a store, targets and links that misbehave on
 * demand. Only the thread that made it changes it.
 */
class SoakFleet {
public:
    SoakFleet(const SoakOptions& options, RunHistory& history);
    ~SoakFleet();
    SoakFleet(const SoakFleet&) = delete;
    SoakFleet& operator=(const SoakFleet&) = delete;

    void start();
    /** @return a fault that fits the options. */
    Fault drawFault(std::mt19937_64& random);

    size_t gateways() const noexcept { return m_gateways.size(); }
    fleet::Address callersOf(size_t gateway) const;
    /** @return when a gateway was last started; none while it is ending or down. */
    std::optional<SteadyTime> runningSince(size_t gateway) const;

    struct Declared {
        int revision = 0;
        SteadyTime at;
    };
    Declared declared() const;
    /** @return a path that only this revision of the declaration serves. */
    static std::string pathOf(int revision);

private:
    struct GatewayPlace {
        std::unique_ptr<FaultProxy> callers;
        std::unique_ptr<FaultProxy> store;
        std::unique_ptr<SoakProcess> process;
        std::string settings;
    };
    struct TargetPlace {
        std::string name;
        std::string pool;
        std::unique_ptr<FaultProxy> link;
        std::unique_ptr<SoakTarget> target;
        std::unique_ptr<SoakProcess> sidecar;
        int lives = 0;
        bool isBusy = false;
    };

    void addGateway(size_t number);
    void addTarget(const std::string& name, const std::string& pool);
    void startTarget(TargetPlace& place, const std::string& id);
    std::string nextId(TargetPlace& place);
    void retire(TargetPlace& place);
    void declare();
    Fault plannedFault(std::mt19937_64& random);
    Fault processFault(std::mt19937_64& random);
    Fault linkFault(std::mt19937_64& random);
    Fault storeFault(std::mt19937_64& random);
    Fault targetFault(std::mt19937_64& random);
    Fault crash(TargetPlace& place, bool keepsId);
    GatewayPlace& anyGateway(std::mt19937_64& random);
    TargetPlace& anyTarget(std::mt19937_64& random);
    SoakProcess& anyProcess(std::mt19937_64& random);
    fleet::Address pickAddress();

    SoakOptions m_options;
    RunHistory& m_history;
    localfleet::PortPicker m_ports;
    fakes::FakeFleetStore m_store;
    HandleTable m_handles;
    channels::EventLoop m_loop;
    std::vector<GatewayPlace> m_gateways;
    std::vector<TargetPlace> m_targets;
    mutable std::mutex m_mutex;
    Declared m_declared;
    std::jthread m_loopThread;
    std::jthread m_watcher;
};

} // namespace citronspoke::soak
