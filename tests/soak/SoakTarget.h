#pragma once

#include "FakeDocuments.h"
#include "FakeFleetStore.h"
#include "RunHistory.h"

#include <optional>
#include <random>

namespace citronspoke::soak {

/** Events of a whole stream. */
inline constexpr uint64_t StreamEvents = 6;
/** @return one event of an attempt's stream. */
std::string eventText(const std::string& attempt, uint64_t number);

/** Shares of the requests that a target harms. */
struct TargetHarm {
    double fails = 0;
    /** Runs the request and resets the connection. */
    double losesAnswers = 0;
    /** Sends bytes that are no answer, or another answer behind its own. */
    double garbles = 0;
    bool hangs = false;
};

/** Which attempt each prompt cache belongs to, over all engines. */
class HandleTable {
public:
    std::string put(const std::string& engine, const std::string& attempt);
    /** @return the attempt that a handle belonged to; none when it is gone. */
    std::optional<std::string> take(const std::string& handle);
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

/** What all targets of a play share. */
struct TargetSurroundings {
    RunHistory& history;
    HandleTable& handles;
    fakes::FakeFleetStore& store;
    /** Time for leaving targets to get no new work; none where disturbances excuse more. */
    std::optional<Milliseconds> drainLimit;
};

/** One life of a target: an application, or a model engine with a role. */
class SoakTarget {
public:
    /** @param published the address in the target's entry. */
    SoakTarget(const TargetSurroundings& surroundings, std::string id, std::string pool,
        std::optional<EngineRole> role, const fleet::Address& published, uint64_t seed);
    ~SoakTarget();

    const std::string& id() const noexcept { return m_id; }
    fleet::Address address() const { return m_server->address(); }
    void harm(const TargetHarm& harm);
    /** Writes the entry. */
    void publish();
    /** Says in the store that it leaves. */
    void leave();
    size_t running() const noexcept { return m_running; }

private:
    void handle(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    bool isRefused(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void run(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void runApplication(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void runEngine(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void stream(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    bool takeHandle(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void takeOrder(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
    void report(fakes::FakeConnection& connection) const;
    bool draws(double share);

    TargetSurroundings m_surroundings;
    std::string m_id;
    std::string m_pool;
    std::string m_published;
    mutable std::mutex m_mutex;
    std::optional<EngineRole> m_role;
    TargetHarm m_harm;
    std::mt19937_64 m_random;
    std::optional<SteadyTime> m_leftAt;
    std::string m_orderHolder;
    int64_t m_lastFence = 0;
    int64_t m_orders = 0;
    std::atomic<bool> m_isChanging { false };
    std::atomic<size_t> m_running { 0 };
    std::unique_ptr<fakes::FakeHttpServer> m_server;
};

} // namespace citronspoke::soak
