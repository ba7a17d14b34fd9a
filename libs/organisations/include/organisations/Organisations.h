#pragma once

#include "fleet/Fleet.h"

#include <set>
#include <span>

/**
 * Finds the organisation of a caller by its key. Pure code: no input or output, threads, locks or
 * clock.
 */
namespace citronspoke::organisations {

/** The organisation that a key belongs to. */
struct KeyOwner {
    OrganisationId id;
    /** Takes precedence over the priority of the route; 0 is the most urgent. */
    std::optional<uint32_t> priority;
};

/** Two organisations that a key was declared for; such a key belongs to neither. */
struct SharedKey {
    OrganisationId first;
    OrganisationId second;
    auto operator<=>(const SharedKey&) const = default;
};

/** The keys of a declaration's organisations, by digest. Does not change once it is built. */
class KeyDirectory {
public:
    explicit KeyDirectory(std::span<const fleet::Organisation> organisations);

    /** @return the owner of a key; null when no organisation, or more than one, has it. */
    const KeyOwner* find(const fleet::KeyDigest& digest) const;
    /** @return a pair of organisations for each key that more than one has, each pair once. */
    const std::set<SharedKey>& sharedKeys() const noexcept { return m_sharedKeys; }
    /** @return number of different keys. */
    size_t size() const noexcept { return m_keys; }

private:
    struct Slot {
        fleet::KeyDigest digest {};
        /** Position in the owners; none while the slot is free. */
        uint32_t owner = FreeSlot;
    };
    static constexpr uint32_t FreeSlot = UINT32_MAX;
    static constexpr uint32_t SharedSlot = UINT32_MAX - 1;

    size_t firstSlot(const fleet::KeyDigest& digest) const noexcept;
    void add(const fleet::KeyDigest& digest, uint32_t owner);

    std::vector<KeyOwner> m_owners;
    /** Hash table with linear probing; at most half of the slots are in use. */
    std::vector<Slot> m_slots;
    std::set<SharedKey> m_sharedKeys;
    size_t m_keys = 0;
};

} // namespace citronspoke::organisations
