#pragma once

#include "model/Model.h"

#include <map>

namespace citronspoke::agent {

/**
 * Attempts that must never start here, however late their Submit arrives. Only the most recent
 * requests are kept.
 */
class Tombstones {
public:
    /** Marks this attempt and all earlier ones of the request. */
    void add(const RequestId& request, AttemptNumber attempt)
    {
        auto [position, isNew] = m_attempts.try_emplace(request, attempt);
        position->second = std::max(position->second, attempt);
        if (isNew)
            m_insertionOrder.push_back(request);
        if (m_insertionOrder.size() > MaxRequests) {
            m_attempts.erase(m_insertionOrder.front());
            m_insertionOrder.pop_front();
        }
    }

    bool covers(const RequestId& request, AttemptNumber attempt) const
    {
        auto found = m_attempts.find(request);
        return found != m_attempts.end() && attempt <= found->second;
    }

private:
    static constexpr size_t MaxRequests = 20000;

    std::map<RequestId, AttemptNumber> m_attempts;
    /** The oldest at the front. */
    std::deque<RequestId> m_insertionOrder;
};

} // namespace citronspoke::agent
