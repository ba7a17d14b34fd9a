#pragma once

#include "model/Model.h"

#include <map>

namespace citronspoke::entry {

/** The targets of this entry's requests in flight, by the fingerprint of their content. */
class InFlightCopies {
public:
    using Copies = std::map<RequestId, TargetId>;

    void add(uint64_t fingerprint, const RequestId& request, const TargetId& target)
    {
        m_copies[fingerprint][request] = target;
    }

    void remove(uint64_t fingerprint, const RequestId& request)
    {
        auto found = m_copies.find(fingerprint);
        if (found == m_copies.end())
            return;
        found->second.erase(request);
        if (found->second.empty())
            m_copies.erase(found);
    }

    /** @return the requests with this fingerprint and their targets; null when there are none. */
    const Copies* find(uint64_t fingerprint) const
    {
        auto found = m_copies.find(fingerprint);
        return found == m_copies.end() ? nullptr : &found->second;
    }

private:
    std::map<uint64_t, Copies> m_copies;
};

} // namespace citronspoke::entry
