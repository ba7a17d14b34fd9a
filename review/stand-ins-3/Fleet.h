// Servers that crash and are back after a while; each start is an incarnation with a new id.
#pragma once

#include "Deployment.h"

#include <memory>

namespace review {

/** What one start of a server is. */
struct Incarnation {
    /** Of its place, from 0. */
    size_t place = 0;
    std::string id;
    ServerEntry entry;
};

/** The servers of one service. They write their entries to the store. Any thread may call. */
class Fleet {
public:
    using Handler = std::function<void(const Incarnation&, const Request&, Connection&)>;

    /**
     * @param phases of each server; empty for an application.
     * @param downTime after a crash, until the server is back at its address.
     */
    Fleet(Store& store, Record& record, std::string service, const std::vector<std::string>& phases,
        Milliseconds downTime, Handler handler);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /** Reports that a server leaves; it serves on. @return what it is. */
    Incarnation drain(size_t place);
    /** Ends a server; all its connections end with it. */
    void crash(const Incarnation& incarnation);

private:
    struct Place {
        std::unique_ptr<Server> server;
        Incarnation incarnation;
        size_t starts = 0;
        SteadyTime crashedAt;
    };

    void begin(Place& place);
    void publish(Place& place);
    void supervise(const std::stop_token& stop);

    Store& m_store;
    Record& m_record;
    std::string m_service;
    Milliseconds m_downTime;
    Handler m_handler;
    std::mutex m_mutex;
    std::deque<Place> m_places;
    std::jthread m_supervisor;
};

} // namespace review
