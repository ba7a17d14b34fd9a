#pragma once

#include "Fleet.h"

namespace review {

/** One start of a sound engine of the service "desk", which answers with a stream of events. */
class StreamEngine {
public:
    struct Options {
        size_t events = 0;
        std::chrono::milliseconds eventGap { 0 };
    };
    /** @param port 0 for a free one; an engine that starts again keeps its address. */
    StreamEngine(
        std::string id, std::string version, const Options& options, uint16_t port, Record& record);
    /** Ends like a crash: all channels are closed. */
    ~StreamEngine();
    StreamEngine(const StreamEngine&) = delete;
    StreamEngine& operator=(const StreamEngine&) = delete;

    uint16_t port() const { return m_server.port(); }
    /** @return its entry in the store. */
    std::string entry() const;

private:
    void handle(const Request& request, ServerConnection& connection);

    std::string m_id;
    std::string m_version;
    Options m_options;
    int64_t m_born;
    Record& m_record;
    Server m_server;
};

/** @return a configuration with one route, "/stream/", for streams that may be resumed. */
std::string streamConfigurationText();
/** @return a request of a client on the route "/stream/". @param fieldLines each with its end. */
std::string streamRequestText(
    const std::string& attempt, int64_t deadlineMs, const std::string& fieldLines);

} // namespace review
