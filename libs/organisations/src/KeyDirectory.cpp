#include "organisations/Organisations.h"

#include <bit>
#include <cstring>

namespace citronspoke::organisations {

namespace {

    /** Takes the same time wherever the digests differ. */
    bool equalInConstantTime(const fleet::KeyDigest& left, const fleet::KeyDigest& right) noexcept
    {
        unsigned difference = 0;
        for (size_t index = 0; index < left.size(); ++index)
            difference |= static_cast<unsigned>(left[index] ^ right[index]);
        return difference == 0;
    }

} // namespace

KeyDirectory::KeyDirectory(std::span<const fleet::Organisation> organisations)
{
    size_t keys = 0;
    for (const fleet::Organisation& organisation : organisations)
        keys += organisation.keyDigests.size();
    m_slots.resize(std::bit_ceil(2 * keys + 1));
    m_owners.reserve(organisations.size());
    for (const fleet::Organisation& organisation : organisations) {
        const uint32_t owner = static_cast<uint32_t>(m_owners.size());
        m_owners.push_back({ organisation.id, organisation.priority });
        for (const fleet::KeyDigest& digest : organisation.keyDigests)
            add(digest, owner);
    }
}

size_t KeyDirectory::firstSlot(const fleet::KeyDigest& digest) const noexcept
{
    // The bytes of a digest are as good as random.
    uint64_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash & (m_slots.size() - 1);
}

void KeyDirectory::add(const fleet::KeyDigest& digest, uint32_t owner)
{
    size_t index = firstSlot(digest);
    while (m_slots[index].owner != FreeSlot && m_slots[index].digest != digest)
        index = (index + 1) & (m_slots.size() - 1);
    Slot& slot = m_slots[index];
    if (slot.owner == FreeSlot) {
        slot = { digest, owner };
        m_keys += 1;
        return;
    }
    if (slot.owner == SharedSlot || m_owners[slot.owner].id == m_owners[owner].id)
        return;
    m_sharedKeys.insert({ m_owners[slot.owner].id, m_owners[owner].id });
    slot.owner = SharedSlot;
}

const KeyOwner* KeyDirectory::find(const fleet::KeyDigest& digest) const
{
    uint32_t owner = FreeSlot;
    for (size_t index = firstSlot(digest); m_slots[index].owner != FreeSlot;
         index = (index + 1) & (m_slots.size() - 1)) {
        if (equalInConstantTime(m_slots[index].digest, digest))
            owner = m_slots[index].owner;
    }
    return owner < m_owners.size() ? &m_owners[owner] : nullptr;
}

} // namespace citronspoke::organisations
