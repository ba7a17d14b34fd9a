#pragma once

#include "dispatch/Dispatch.h"

/** What gateways tell each other: their work in flight and which engine has read which parts. */
namespace citronspoke::peers {

/** A datagram of a peer could not be understood. */
class UpdateUnreadable final : public Error {
public:
    std::string_view kind() const noexcept override { return "update_unreadable"; }
    std::string describe() const override { return "A peer sent an unreadable update."; }
};

/** The sender's own work in flight at one target; it replaces what the sender said before. */
struct LoadReport {
    TargetId target;
    dispatch::Load load;
};

/** An engine has read the parts of a prompt and keeps them for a while. */
struct PartsReport {
    TargetId engine;
    std::vector<fleet::PromptPart> parts;
};

/** A request was running when targets crashed. */
struct CrashReport {
    /** Names the request, whichever attempt of a caller it is. */
    uint64_t fingerprint = 0;
    /** Names of all crashes that the sender knows of. */
    std::vector<uint64_t> crashes;
};

/** One datagram. */
struct Update {
    EntryId sender;
    /** Names one life of the sender; numbers start anew in each. */
    UnixMillis senderStartedAt;
    uint64_t number = 0;
    std::vector<LoadReport> loads;
    std::vector<PartsReport> parts;
    /** Targets at whose addresses the sender met others. */
    std::vector<TargetId> replaced;
    std::vector<CrashReport> crashes;
    /** Fingerprints of suspected requests that were served after all. */
    std::vector<uint64_t> cleared;
};

std::string encode(const Update& update);
/** @throws UpdateUnreadable */
Update decode(std::string_view datagram);

/** Collects what has changed until it is sent. Later loads replace earlier ones. */
class Outbox {
public:
    void add(const LoadReport& report);
    void add(PartsReport report);
    void addReplaced(const TargetId& target) { m_replaced.push_back(target); }
    void add(CrashReport report);
    void addCleared(uint64_t fingerprint) { m_cleared.push_back(fingerprint); }
    bool empty() const noexcept;
    /** @return datagrams that fit into one packet each. */
    std::vector<std::string> take(const EntryId& sender, UnixMillis startedAt);

private:
    std::map<TargetId, dispatch::Load> m_loads;
    std::vector<PartsReport> m_parts;
    std::vector<TargetId> m_replaced;
    std::vector<CrashReport> m_crashes;
    std::vector<uint64_t> m_cleared;
    uint64_t m_number = 0;
};

/** Says which updates are old, so that a late datagram cannot undo a newer one. */
class UpdateOrder {
public:
    /** @return false when a newer update of that sender has come. */
    bool accept(const Update& update);

private:
    struct Last {
        UnixMillis startedAt;
        uint64_t number = 0;
    };
    std::map<EntryId, Last> m_last;
};

} // namespace citronspoke::peers
