#pragma once

#include "model/Model.h"

#include <functional>

#include <unordered_map>

namespace citronspoke::gateway {

/**
 * The bytes of responses that this gateway holds for its callers, all together. Used by the event
 * loop's thread only.
 */
class CallerBuffers {
public:
    /**
     * @param maxBytes most that is held for all callers. Above half of it, no more is read from a
     *        target for a caller for whom bytes are held.
     */
    explicit CallerBuffers(size_t maxBytes)
        : m_maxBytes(maxBytes)
    {
    }

    /**
     * The bytes that are held for a caller have changed.
     * @param caller identifies the caller's connection.
     * @param disconnect called at most once, when the callers' bytes are more than the most and
     *        this one's are the most that have made no progress.
     */
    void update(
        const void* caller, size_t bytes, const std::function<void()>& disconnect, SteadyTime now);
    /** The connection is closed. */
    void remove(const void* caller);
    size_t total() const noexcept { return m_total; }
    bool isFull() const noexcept { return m_total > m_maxBytes / 2; }

private:
    struct Held {
        size_t bytes = 0;
        SteadyTime progressAt;
        std::function<void()> disconnect;
    };
    void disconnectSlowest(SteadyTime now);

    std::unordered_map<const void*, Held> m_held;
    size_t m_maxBytes;
    size_t m_total = 0;
};

} // namespace citronspoke::gateway
