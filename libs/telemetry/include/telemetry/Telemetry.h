#pragma once

#include "model/Model.h"

#include <initializer_list>
#include <span>

/** Log, metrics and event timeline of one process. All functions may be called on any thread. */
namespace citronspoke::telemetry {

/** One key=value pair of a log line, or one label of a metric. */
struct Field {
    std::string_view key;
    std::string value;
};
using Fields = std::initializer_list<Field>;

/**
 * Sends the log to standard output, each line in the form "TIME LEVEL [part] Sentence. key=value".
 * A separate thread writes the lines. When it falls behind, lines are dropped and counted, so that
 * logging never blocks.
 * @param verbose whether to write debug lines.
 */
void configureLogging(bool verbose);
/** Writes the queued lines and ends the writing thread. Must be called last in main. */
void finishLogging();
void logDebug(std::string_view part, std::string_view sentence, Fields fields = {});
void logInfo(std::string_view part, std::string_view sentence, Fields fields = {});
void logWarning(std::string_view part, std::string_view sentence, Fields fields = {});
void logError(std::string_view part, std::string_view sentence, Fields fields = {});

/**
 * Logs an exception that no code expected, with its type, and counts it as
 * "citronspoke_unexpected_exceptions_total". The process lives on without the work that threw it.
 * @param work what was dropped, such as "connection".
 */
void reportUnexpected(std::string_view work, const std::exception& exception);

/** Adds to the counter "citronspoke_NAME_total". */
void count(std::string_view name, Fields labels = {}, double amount = 1);
/** Sets the gauge "citronspoke_NAME". */
void gauge(std::string_view name, double value, Fields labels = {});
/** Adds a duration to the histogram "citronspoke_NAME_seconds". */
void observe(std::string_view name, std::chrono::duration<double> duration, Fields labels = {});
/** @return all metrics in the Prometheus text format. */
std::string metricsText();

/** Kind of an event in the timeline and in the histories that tests check. */
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

/** @return the name of the kind in timelines, such as "request_received". */
std::string_view toText(EventKind);

/** One event of the timeline. */
struct Event {
    /** Hybrid logical clock: milliseconds since 1970, shifted by a 16-bit counter. */
    uint64_t clock = 0;
    EventKind kind = EventKind::RequestReceived;
    RequestId request;
    TargetId target;
    std::string detail;
};

/** Appends an event to the timeline, which is bounded; the oldest events are dropped. */
void record(
    EventKind kind, const RequestId& request, const TargetId& target, std::string detail = {});
/** @return the events with a clock above @p after, oldest first. */
std::vector<Event> eventsSince(uint64_t after);

/** @return a clock value greater than all earlier ones in this process and those received. */
uint64_t tickClock();
/** Advances the clock to at least the value received from a peer. */
void advanceClock(uint64_t clock);

} // namespace citronspoke::telemetry
