#pragma once

#include "model/Model.h"

#include <functional>
#include <list>
#include <memory>
#include <utility>

/**
 * Pure decisions on what the callers of a process may make it hold, and on who gives way when that
 * is too much.
 */
namespace citronspoke::capacity {

class HeldMemory;

/**
 * The memory that all requests of a process hold together: what was received of them, and the
 * responses that are collected for them. When it is short, what is still being received gives way:
 * unfinished requests, and unfinished events of responses. Those that hold most, and for longest,
 * do so first. Used by one thread.
 */
class RequestMemory {
public:
    struct Limits {
        size_t totalBytes = 0;
        /** The part of totalBytes that only small requests may take. */
        size_t reservedBytes = 0;
        /** Largest small request. */
        size_t smallRequestBytes = 0;
    };

    explicit RequestMemory(const Limits& limits);
    RequestMemory(const RequestMemory&) = delete;
    RequestMemory& operator=(const RequestMemory&) = delete;

    /** @return bytes held by all requests. */
    size_t total() const noexcept { return m_total; }

private:
    friend class HeldMemory;

    size_t limitFor(const HeldMemory& held) const noexcept;
    bool makeRoom(HeldMemory& grown, SteadyTime now);
    HeldMemory* nextToGiveWay(const HeldMemory& grown, SteadyTime now) const;
    bool mayExceed(HeldMemory& served);
    void resumeWaiting();

    Limits m_limits;
    size_t m_total = 0;
    std::list<HeldMemory*> m_receiving;
    /** Requests whose responses wait for memory. */
    std::list<HeldMemory*> m_waiting;
    /** The one request that may exceed the limits, so that there is always one that ends. */
    HeldMemory* m_unlimited = nullptr;
};

/** The memory that one request holds. It is released with the object. */
class HeldMemory {
public:
    /** What is being received. */
    enum class Kind : uint8_t {
        Request,
        /** An event of a response. A large one gives way itself before requests do: it is a
         * target's fault more likely than a callers' crowd. */
        Event,
    };

    /**
     * A request, or an event of a response, that is being received.
     * @param giveWay called at most once, when the request must release its memory. Not called for
     *        a request while it is being resized itself. It may destroy this object.
     */
    HeldMemory(std::shared_ptr<RequestMemory> memory, std::function<void()> giveWay, SteadyTime now,
        Kind kind = Kind::Request);
    ~HeldMemory();
    HeldMemory(const HeldMemory&) = delete;
    HeldMemory& operator=(const HeldMemory&) = delete;

    /**
     * The request holds so much now; others give way when that is too much.
     * @return false when there is not enough memory: a request that is being received must release
     *         its own, one that is being served should grow no further until it is resumed.
     */
    bool resize(size_t bytes, SteadyTime now);
    /**
     * The request was received as a whole and is served; it no longer gives way.
     * @param resume called each time that it may grow again after resize() has returned false. It
     *        must not resize or destroy objects of this class itself.
     */
    void beginService(std::function<void()> resume);

private:
    friend class RequestMemory;

    /** @return by how much the request is in the way of others. */
    double weight(SteadyTime now) const;
    void leaveReceiving();
    void detach();

    std::shared_ptr<RequestMemory> m_memory;
    std::function<void()> m_giveWay;
    std::function<void()> m_resume;
    SteadyTime m_beganAt;
    Kind m_kind;
    size_t m_bytes = 0;
    /** Among the requests that are being received. */
    std::list<HeldMemory*>::iterator m_position;
    bool m_isReceiving = true;
    bool m_isWaiting = false;
};

/** What the callers of a process may take of its memory and its descriptors. */
struct CallerCapacity {
    RequestMemory::Limits requests;
    /** Bytes of responses that wait for callers to read them. */
    size_t unsentBytes = 0;
    /** The prefix cache index, whose parts callers choose. */
    size_t prefixIndexBytes = 0;
    /** Connections of callers. As many again may be in use towards targets. */
    size_t connections = 0;
    /** Connections to each server of status pages. */
    size_t pageConnections = 0;
    /** Idle connections to targets. */
    size_t idleTargetConnections = 0;
};

/**
 * Divides what a process may use. The rest is for the process itself: its code, what it knows of
 * the deployment, its connections to the store and to other processes, and files.
 * @param memoryBytes memory of the process.
 * @param descriptors descriptors that it may open.
 */
CallerCapacity callerCapacity(size_t memoryBytes, size_t descriptors);

} // namespace citronspoke::capacity
