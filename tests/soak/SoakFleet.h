#pragma once

#include "FaultProxy.h"
#include "PortPicker.h"
#include "SoakCaller.h"
#include "SoakProcess.h"
#include "SoakTarget.h"

namespace citronspoke::soak {

/** Settings of one run. */
struct SoakOptions {
    uint64_t seed = 1;
    size_t gateways = 3;
    size_t engines = 4;
    size_t applications = 2;
    size_t callers = 6;
    /** How long faults are injected. */
    Milliseconds faultDuration { 5000 };
    /** Only stops, reloads, new declarations and draining targets, which may cut no request. */
    bool isPlannedOnly = false;
    /** Also checks guarantees with a time limit; for a machine that is not busy. */
    bool checksTimeLimits = false;
    /** Requests with parts that crash engines are sent, and all gateways are killed once. */
    bool hasCrashingParts = false;
    /** Folder for settings files and logs. */
    std::string folder;
    /** Folder of the programs. */
    std::string programs;
};

/** A fault or a planned change; end is empty when it needs no undoing. */
struct Fault {
    std::string name;
    std::function<void()> begin;
    std::function<void()> end;
    Milliseconds duration { 0 };
};

/**
 * Runs the real gateway and sidecar programs as child processes against a fake store and fake
 * targets, over links with injected faults. Only the thread that created it changes it.
 */
class SoakFleet {
public:
    SoakFleet(const SoakOptions& options, RunHistory& history);
    ~SoakFleet();
    SoakFleet(const SoakFleet&) = delete;
    SoakFleet& operator=(const SoakFleet&) = delete;

    /** Starts the targets, the gateways and the sidecars. */
    void start();
    void killAllGateways();
    /** Records as violations what the logs of the processes show of their own faults. */
    void checkLogs() const;
    /** @return a random fault or planned change that the options allow. */
    Fault drawFault(std::mt19937_64& random);

    size_t gateways() const noexcept { return m_gateways.size(); }
    /** @return whether the store has the announcement of each gateway. */
    bool areGatewaysAnnounced() const;
    /** @return the address at which callers reach a gateway. */
    fleet::Address callerAddress(size_t gateway) const;
    /** @return when a gateway was last started; none while it is stopping or not running. */
    std::optional<SteadyTime> runningSince(size_t gateway) const;

    /** The last declaration written to the store. */
    struct PublishedDeclaration {
        int revision = 0;
        SteadyTime publishedAt;
    };
    PublishedDeclaration publishedDeclaration() const;
    /** @return a path that only this revision of the declaration routes. */
    static std::string revisionPath(int revision);

private:
    /** Begins the keys of records that another writer has left. */
    static constexpr std::string_view OddRecordPrefix = "servers/odd-";
    /** A draining target must get no new work after this time, as the deployments require it. */
    static constexpr Milliseconds DrainLimit { 2000 };

    /** A gateway, which keeps its addresses over restarts of its process. */
    struct GatewayPlace {
        std::unique_ptr<FaultProxy> callerLink;
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<SoakProcess> process;
        std::string settings;
    };
    /** A target address with its sidecar; incarnations of the target follow each other there. */
    struct TargetPlace {
        std::string name;
        std::string pool;
        std::unique_ptr<FaultProxy> link;
        std::unique_ptr<SoakTarget> target;
        std::unique_ptr<SoakProcess> sidecar;
        int incarnations = 0;
        size_t starts = 0;
        bool hasFault = false;
        /** Publishes the target's departure some time after its announcement in responses. */
        std::jthread departure;
    };

    void addGateway(size_t number);
    void addTarget(const std::string& name, const std::string& pool);
    void startTarget(TargetPlace& place, const std::string& id);
    std::string nextIncarnationId(TargetPlace& place);
    void replaceTarget(TargetPlace& place);
    void publishDeclaration();
    /** Leaves records among those of the targets that name no target to use. */
    void writeOddRecords();
    /** Keeps a copy of the store, now and then. */
    void copyStore();
    /** Restores the store from an older copy; its operator and the targets write again later. */
    Fault restoreFault();
    void writeAgain();
    Fault plannedFault(std::mt19937_64& random);
    /** A departure, announced in one of two ways, or a pause. */
    Fault leaveFault(TargetPlace& place);
    std::optional<SteadyTime> runningSince(const std::string& gateway) const;
    Fault processFault(std::mt19937_64& random);
    Fault linkFault(std::mt19937_64& random);
    Fault storeFault(std::mt19937_64& random);
    Fault targetFault(std::mt19937_64& random);
    Fault crashFault(TargetPlace& place, bool keepsId, Milliseconds duration);
    GatewayPlace& randomGateway(std::mt19937_64& random);
    TargetPlace& randomTarget(std::mt19937_64& random);
    SoakProcess& randomProcess(std::mt19937_64& random);
    fleet::Address pickAddress();
    /** @return the IP address of the next target's VM. Sidecars use the same port on each VM. */
    std::string nextVmAddress();

    SoakOptions m_options;
    RunHistory& m_history;
    localfleet::PortPicker m_ports;
    uint16_t m_sidecarPort;
    fakes::FakeFleetStore m_store;
    HandleTable m_handles;
    channels::EventLoop m_loop;
    std::vector<GatewayPlace> m_gateways;
    std::vector<TargetPlace> m_targets;
    mutable std::mutex m_mutex;
    PublishedDeclaration m_publishedDeclaration;
    std::string m_declarationText;
    /** Oldest first. */
    std::deque<std::shared_ptr<const fakes::FakeFleetStore::Copy>> m_copies;
    SteadyTime m_copiedAt {};
    size_t m_declarations = 0;
    /** Every other loss of the store's history is a restore. */
    bool m_restoresNext = true;
    std::jthread m_loopThread;
    std::jthread m_supervisor;
};

} // namespace citronspoke::soak
