#pragma once

#include "FakeDocuments.h"
#include "FakeFleetStore.h"
#include "RunHistory.h"

#include <functional>
#include <optional>
#include <random>

namespace citronspoke::soak {

/** Number of events in a complete stream. */
inline constexpr uint64_t EventsPerStream = 12;
/** @return event @p number, from 1, as targets of a software version write it for an attempt. */
std::string eventText(const std::string& attempt, uint64_t number, const std::string& version);

/** The faults that a target injects, as shares (0 to 1) of its requests. */
struct TargetFaults {
    /** Runs the request and responds with status 500. */
    double failureShare = 0;
    /** Runs the request and resets the connection. */
    double lostResponseShare = 0;
    /** Sends bytes that are not a valid response, or a second response after the expected one. */
    double garbledShare = 0;
    /** Never responds to any request. */
    bool hangs = false;
    /** States in each response that it takes so many requests a second. */
    std::optional<double> requestLimit;
    /** Refuses each request and requests a pause of this length. */
    std::optional<Milliseconds> pause;
};

/** Prompt parts whose ids begin so crash each engine that begins to write an answer on them. */
inline constexpr std::string_view CrashingPartPrefix = "bad";

/** Maps the KV cache handles of all engines to their attempts. Any thread may call. */
class HandleTable {
public:
    /** @return a new handle. */
    std::string put(const std::string& engine, const std::string& attempt);
    /** Removes a handle. @return its attempt; none when the handle does not exist. */
    std::optional<std::string> take(const std::string& handle);
    /** Removes the handles of an engine that has ended. */
    void dropEngine(const std::string& engine);

private:
    struct Handle {
        std::string engine;
        std::string attempt;
    };
    std::mutex m_mutex;
    uint64_t m_last = 0;
    std::map<std::string, Handle> m_handles;
};

/** What all targets of a run share. */
struct TargetContext {
    RunHistory& history;
    HandleTable& handles;
    fakes::FakeFleetStore& store;
    /** Time after which a draining target must receive no work; none where faults may delay it. */
    std::optional<Milliseconds> drainLimit;
    /** Whether to check that gateways follow what targets state in their responses. */
    bool checksNotices = false;
    /** Takes a gateway's address. @return since when it runs; none while it is stopping. */
    std::function<std::optional<SteadyTime>(const std::string&)> gatewayRunningSince;
};

/**
 * One incarnation of a fake target: an application, or a model engine with a role. It checks what
 * reaches it and records violations. Any thread may call.
 */
class SoakTarget {
public:
    /** What a target is. */
    struct Identity {
        std::string id;
        std::string pool;
        /** None for an application. */
        std::optional<EngineRole> role;
        /** Of its software. */
        std::string version;
    };
    /** @param published the address in the target's record. */
    SoakTarget(const TargetContext& context, Identity identity, const fleet::Address& published,
        uint64_t seed);
    ~SoakTarget();

    const std::string& id() const noexcept { return m_id; }
    fleet::Address address() const { return m_server->address(); }
    void setFaults(const TargetFaults& faults);
    /** Ends the faults. */
    void endFaults();
    /** Writes the target record to the store. */
    void publish();
    /** Publishes the state "draining" and announces it in each response. */
    void startDraining();
    /** Announces in each response that it is leaving, while its record states that it serves. */
    void announceLeaving()
    {
        m_announcesLeaving = true;
        m_context.history.recordServing(m_id, {});
    }
    /** @return the number of requests being served. */
    size_t running() const noexcept { return m_running; }

private:
    void handle(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    /** What a response to an attempt has stated to the gateway that sent it. */
    struct Notice {
        std::string attempt;
        SteadyTime at;
        /** None: the target is leaving. */
        std::optional<Milliseconds> pause;
        /** Requests of the gateway during the pause. */
        size_t arrivals = 0;
    };
    /** Checks an arrival against the notices that its gateway has received. */
    void checkNotices(const std::string& attempt);
    void noteNotice(const std::string& attempt, std::optional<Milliseconds> pause);
    http1::Headers responseHeaders(const fakes::FakeRequest& request) const;
    void refuse(
        const fakes::FakeRequest& request, fakes::FakeConnection& connection, uint32_t status);
    void refuseWithPause(
        const fakes::FakeRequest& request, fakes::FakeConnection& connection, Milliseconds pause);
    http1::Headers stampedHeaders(const fakes::FakeRequest& request) const;
    bool isRefused(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void run(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void runApplication(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void runEngine(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void stream(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    bool takeHandle(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void handleOrder(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void report(fakes::FakeConnection& connection) const;
    /** Records the arrival of a request with a part that crashes engines. @return that part. */
    std::optional<std::string> crashingPartOf(const fakes::FakeRequest& request);
    /** Ends this incarnation; another one under the same id follows. */
    void crash(const std::string& part);
    void restart(const std::stop_token& stop);
    bool drawWithProbability(double share);
    /** Records whether this engine serves streams; to be called with the mutex locked. */
    void recordServing();

    TargetContext m_context;
    std::string m_id;
    std::string m_pool;
    std::string m_version;
    UnixMillis m_startedAt;
    std::string m_published;
    mutable std::mutex m_mutex;
    std::optional<EngineRole> m_role;
    TargetFaults m_faults;
    bool m_hasFaults = false;
    std::mt19937_64 m_random;
    std::optional<SteadyTime> m_drainStartedAt;
    std::atomic<bool> m_announcesLeaving { false };
    /** By the address of the gateway. */
    std::map<std::string, std::vector<Notice>> m_notices;
    std::string m_orderOwner;
    int64_t m_lastFence = 0;
    nlohmann::json m_lastOrder;
    int64_t m_orders = 0;
    std::atomic<bool> m_isChangingRole { false };
    std::atomic<bool> m_isCrashed { false };
    /** Incarnations under this id that have crashed on a prompt part. */
    std::atomic<size_t> m_crashes { 0 };
    std::atomic<size_t> m_running { 0 };
    std::jthread m_restarter;
    std::unique_ptr<fakes::FakeHttpServer> m_server;
};

} // namespace citronspoke::soak
