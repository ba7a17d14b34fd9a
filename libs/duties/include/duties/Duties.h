#pragma once

#include "model/Model.h"

#include <limits>
#include <map>

/**
 * Duties that one process holds at a time, and the usage reports that are one of them. No input or
 * output; time is passed in.
 */
namespace citronspoke::duties {

/** Time since the machine started, including the time in which it was suspended. */
struct BootClock {
    using duration = Milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
};
using BootTime = BootClock::time_point;

/** Number of a usage window: the time since 1970 at which it begins, divided by its length. */
using WindowNumber = Number<struct WindowTag>;

/** @param length of a window. @return the window that contains the time. */
inline WindowNumber windowAt(UnixMillis time, Milliseconds length)
{
    return WindowNumber(time.value() / length.count());
}

/**
 * The lease under which one process holds all duties. The store keeps the lease; this class knows
 * when the own process may acquire it and whether it may act now.
 */
class DutyLease {
public:
    struct Options {
        /** After which the store drops the lease when it is not renewed. */
        Milliseconds leaseTime { 3000 };
        /** The holder stops acting this long before the lease could end. */
        Milliseconds safetyMargin { 300 };
        /** Added to the lease time for a process that has started or that saw a restore. */
        Milliseconds extraWait { 500 };
        auto operator<=>(const Options&) const = default;
    };

    DutyLease(const Options& options, BootTime startedAt);

    /** The store was restored from an older copy, so its leases no longer hold. */
    void noteRestored(BootTime now);
    /** @return whether the process may ask the store for the lease. */
    bool mayAcquire(BootTime now) const;
    /** A fencing number was seen in the store or reported by another process. */
    void noteFencingNumber(FencingNumber number);
    /**
     * @param trueTime estimate; it makes the number rise also where the store lost the newest one.
     * @return the number to acquire the lease with.
     */
    FencingNumber nextFencingNumber(UnixMillis trueTime) const;
    /** @param sentAt when the call that granted the lease was sent. */
    void noteAcquired(FencingNumber number, BootTime sentAt);
    /** @param sentAt when the renewal was sent. */
    void noteRenewed(BootTime sentAt);
    /** The lease has ended or belongs to another process. */
    void noteLost() { m_isHeld = false; }
    /** The process was suspended or cut off; it does not act until it has renewed the lease. */
    void noteGap(BootTime now);
    /** A call of a duty was sent or has ended. */
    void noteCall(BootTime now) { m_lastCall = now; }

    bool isHeld() const noexcept { return m_isHeld; }
    /** @return whether the lease should be renewed now. */
    bool needsRenewal(BootTime now) const;
    /** @return whether the process certainly holds the lease and may call; check before each call.
     */
    bool mayAct(BootTime now) const;
    /** @return the number of the current or last acquisition. */
    FencingNumber fencingNumber() const noexcept { return m_number; }
    /** @return the greatest number known of any process. */
    FencingNumber greatestNumber() const noexcept { return m_greatestNumber; }

    auto operator<=>(const DutyLease&) const = default;

private:
    Options m_options;
    BootTime m_acquireNotBefore;
    bool m_isHeld = false;
    FencingNumber m_number;
    FencingNumber m_greatestNumber;
    /** When the last successful grant or renewal was sent. */
    BootTime m_renewedAt {};
    std::optional<BootTime> m_gapAt;
    std::optional<BootTime> m_lastCall;
    BootTime m_actNotBefore {};
};

/** Requests that began to run, by organisation. */
using Counts = std::map<OrganisationId, uint64_t>;

/** One incarnation of a gateway that counts. */
struct CountSource {
    EntryId gateway;
    UnixMillis startedAt;
    auto operator<=>(const CountSource&) const = default;
};

/** Counts by window and source. Messages may be lost, repeated, late or out of order. */
class UsageCounts {
public:
    /** Counts one request. */
    void add(WindowNumber window, const CountSource& source, const OrganisationId& organisation);
    /** Adds counts that a source reported; for each organisation the higher count is kept. */
    void merge(WindowNumber window, const CountSource& source, const Counts& counts);
    /** @return the sum over all sources. */
    Counts total(WindowNumber window) const;
    /** @return the counts of one source. */
    const Counts& of(WindowNumber window, const CountSource& source) const;
    /** @return the windows for which a source has counted. */
    std::vector<WindowNumber> windows(const CountSource& source) const;
    /** @return the oldest window with counts. */
    std::optional<WindowNumber> first() const;
    /** Forgets windows up to this one; later counts for them are ignored. */
    void dropThrough(WindowNumber window);

private:
    std::map<WindowNumber, std::map<CountSource, Counts>> m_windows;
    WindowNumber m_droppedThrough { std::numeric_limits<int64_t>::min() };
};

/** Decides which usage window the holder records, posts or gives up next. */
class UsageSchedule {
public:
    struct Options {
        Milliseconds window { 5000 };
        /** A report is due this long after the end of its window. */
        Milliseconds delay { 10000 };
        /** Calls of duties that the platform accepts from all processes in a second. */
        double callsPerSecond = 50;
        /** Counts of a window arrive within this time after its end. */
        Milliseconds settleTime { 3000 };
        /** A window whose counts are incomplete is recorded this long before it is due. */
        Milliseconds reserve { 2000 };
        /** A window is given up this long after its end. */
        Milliseconds lifetime { 60000 };
    };

    explicit UsageSchedule(const Options& options)
        : m_options(options)
    {
    }

    UnixMillis endOf(WindowNumber window) const;

    /** Without knowledge of earlier reports, this window is the first. */
    void begin(WindowNumber first);
    /** Counts are complete for windows that begin at this time or later. */
    void noteCompleteSince(UnixMillis time) { m_completeSince = time; }
    /** The store has the record of a window; replaces what was known of it. */
    void noteRecord(WindowNumber window, std::string body);
    /** Another process has recorded the windows up to this one; their bodies may be unknown. */
    void noteRecordedThrough(WindowNumber window);
    /** The windows up to this one were accepted or given up. */
    void noteDoneThrough(WindowNumber window);

    /** @return the newest window that is too old; all up to it are given up. */
    std::optional<WindowNumber> windowToGiveUp(UnixMillis trueTime) const;
    /** @return the oldest window whose counts should be recorded now. */
    std::optional<WindowNumber> windowToRecord(UnixMillis trueTime) const;
    /** @return the oldest recorded window, unless the next call must wait. */
    std::optional<WindowNumber> windowToPost(BootTime now) const;
    const std::string& recordOf(WindowNumber window) const;
    bool isLate(WindowNumber window, UnixMillis trueTime) const;

    void notePostSent(BootTime now);
    void notePostFailed(BootTime now);
    /** The platform will not accept this window, or has. */
    void notePosted(WindowNumber window);

    std::optional<WindowNumber> doneThrough() const noexcept { return m_doneThrough; }
    std::optional<WindowNumber> recordedThrough() const noexcept { return m_recordedThrough; }

private:
    Options m_options;
    std::map<WindowNumber, std::string> m_records;
    std::optional<WindowNumber> m_doneThrough;
    std::optional<WindowNumber> m_recordedThrough;
    UnixMillis m_completeSince { std::numeric_limits<int64_t>::max() };
    BootTime m_nextCallAt {};
    uint32_t m_failures = 0;
};

/** Estimates true time from the clocks of several machines, which may be wrong and may jump. */
class TrueTime {
public:
    /** @param minSamples fewer samples give no estimate. */
    explicit TrueTime(size_t minSamples)
        : m_minSamples(minSamples)
    {
    }
    /** @param clock what a machine's clock showed at about this moment. */
    void note(const EntryId& source, UnixMillis clock, BootTime now);
    /** @return the median of the clocks, advanced to now; none without enough samples. */
    std::optional<UnixMillis> estimate(BootTime now) const;

private:
    struct Sample {
        int64_t offset = 0;
        BootTime at;
    };
    size_t m_minSamples;
    std::map<EntryId, Sample> m_samples;
};

/** Counts of one gateway for one window, or a part of them; for the collectors. */
struct CountsMessage {
    CountSource source;
    /** The sender's clock. */
    UnixMillis clock;
    WindowNumber window;
    Counts counts;
};

/** What a process knows of the duties: the response to counts, and the holder's notice. */
struct DutyStatus {
    CountSource sender;
    /** Estimate; none when the sender has too few samples, and in notices. */
    std::optional<UnixMillis> trueTime;
    FencingNumber greatestNumber;
    std::optional<WindowNumber> recordedThrough;
    std::optional<WindowNumber> doneThrough;
};

} // namespace citronspoke::duties
