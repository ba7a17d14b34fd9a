#pragma once

#include "model/Model.h"

#include <initializer_list>
#include <span>

/** Logs, metrics and the time line of one process. All functions may be called by any thread. */
namespace citronspoke::telemetry {

/** One key=value pair of a log line or a metric's labels. */
struct Field {
    std::string_view key;
    std::string value;
};
using Fields = std::initializer_list<Field>;

/**
 * Sends the log to standard output, each line "TIME LEVEL [part] Sentence. key=value". A thread of
 * its own writes the lines; when it falls behind, lines are dropped and counted, and no caller
 * waits.
 */
void configureLogging(bool verbose);
/** Writes what is queued and ends the writer; call it last in main. */
void finishLogging();
void logDebug(std::string_view part, std::string_view sentence, Fields fields = {});
void logInfo(std::string_view part, std::string_view sentence, Fields fields = {});
void logWarning(std::string_view part, std::string_view sentence, Fields fields = {});
void logError(std::string_view part, std::string_view sentence, Fields fields = {});

/** Adds to the counter "citronspoke_NAME_total". */
void count(std::string_view name, Fields labels = {}, double amount = 1);
/** Sets the gauge "citronspoke_NAME". */
void gauge(std::string_view name, double value, Fields labels = {});
/** Adds a duration to the histogram "citronspoke_NAME_seconds". */
void observe(std::string_view name, std::chrono::duration<double> duration);
/** @return all metrics in the Prometheus text format. */
std::string metricsText();

/** What happened; the kinds of the time line and of the histories that tests check. */
enum class EventKind : uint8_t {
    RequestReceived,
    RequestAdmitted,
    RequestRefused,
    AttemptSent,
    AttemptQueued,
    AttemptStarted,
    AttemptPaused,
    AttemptFailed,
    AttemptRefused,
    AttemptCancelled,
    ChunkGap,
    RequestFinished,
    CallerGone,
    JournalStarted,
    JournalFinished,
    JournalReplayed,
    JournalTakenOver,
    ShardTakenOver,
    OrderIssued,
    OrderBegun,
    OrderDone,
    OrderRefused,
    ConfigAdopted,
    StateChanged,
    PeerSuspected,
    PeerSeen,
    CrashConvicted,
};

std::string_view toText(EventKind);

/** One entry of the time line. */
struct Event {
    /** Hybrid logical clock: milliseconds since 1970, then a 16-bit counter. */
    uint64_t clock = 0;
    EventKind kind = EventKind::RequestReceived;
    RequestId request;
    TargetId target;
    std::string detail;
};

/** Appends to the process's bounded ring of events; the oldest are overwritten. */
void record(
    EventKind kind, const RequestId& request, const TargetId& target, std::string detail = {});
/** @return the events with a clock above @p after, oldest first. */
std::vector<Event> eventsSince(uint64_t after);

/** @return a clock value above all that this process has seen. */
uint64_t tickClock();
/** Moves the clock past one received from a peer. */
void observeClock(uint64_t clock);

} // namespace citronspoke::telemetry
