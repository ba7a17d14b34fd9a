#pragma once

#include "model/Model.h"

#include <map>

namespace citronspoke::agent {

/** Attempts that must never start here, however late their message comes. */
class Tombstones {
public:
    /** Marks this attempt and all earlier ones of the request. */
    void add(const RequestId& request, AttemptNumber attempt)
    {
        auto [position, isNew] = m_attempts.try_emplace(request, attempt);
        position->second = std::max(position->second, attempt);
        if (isNew)
            m_order.push_back(request);
        if (m_order.size() > Kept) {
            m_attempts.erase(m_order.front());
            m_order.pop_front();
        }
    }

    bool covers(const RequestId& request, AttemptNumber attempt) const
    {
        auto found = m_attempts.find(request);
        return found != m_attempts.end() && attempt <= found->second;
    }

private:
    static constexpr size_t Kept = 20000;

    std::map<RequestId, AttemptNumber> m_attempts;
    /** The oldest at the front. */
    std::deque<RequestId> m_order;
};

} // namespace citronspoke::agent
