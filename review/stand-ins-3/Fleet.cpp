#include "Fleet.h"

namespace review {

namespace {

    /** heartbeatMs of the deployments. */
    constexpr Milliseconds Heartbeat { 1200 };
    constexpr Milliseconds CheckInterval { 50 };

    SteadyTime steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

Fleet::Fleet(Store& store, Record& record, std::string service,
    const std::vector<std::string>& phases, Milliseconds downTime, Handler handler)
    : m_store(store)
    , m_record(record)
    , m_service(std::move(service))
    , m_downTime(downTime)
    , m_handler(std::move(handler))
{
    for (const std::string& phase : phases) {
        Place& place = m_places.emplace_back();
        place.incarnation.place = m_places.size() - 1;
        place.incarnation.entry.phase = phase;
        place.server = std::make_unique<Server>(
            [this, &place](const Request& request, Connection& connection) {
                Incarnation incarnation;
                {
                    std::lock_guard lock(m_mutex);
                    incarnation = place.incarnation;
                }
                m_handler(incarnation, request, connection);
            });
        std::lock_guard lock(m_mutex);
        begin(place);
    }
    m_supervisor = std::jthread([this](const std::stop_token& stop) { supervise(stop); });
}

Fleet::~Fleet()
{
    m_supervisor.request_stop();
    m_supervisor.join();
    for (Place& place : m_places)
        place.server.reset();
}

Incarnation Fleet::drain(size_t place)
{
    std::lock_guard lock(m_mutex);
    m_places[place].incarnation.entry.state = "draining";
    publish(m_places[place]);
    return m_places[place].incarnation;
}

void Fleet::crash(const Incarnation& incarnation)
{
    std::lock_guard lock(m_mutex);
    Place& place = m_places[incarnation.place];
    if (place.incarnation.id != incarnation.id || !place.server->isUp())
        return;
    m_record.note(incarnation.id + " crashes");
    place.crashedAt = steadyNow();
    place.server->crash();
}

void Fleet::begin(Place& place)
{
    place.starts += 1;
    Incarnation& incarnation = place.incarnation;
    incarnation.id
        = m_service + "-" + std::to_string(incarnation.place) + "-" + std::to_string(place.starts);
    incarnation.entry.service = m_service;
    incarnation.entry.address = place.server->address();
    incarnation.entry.state = "ready";
    incarnation.entry.born = unixNow();
    incarnation.entry.sequence = 0;
    place.server->start();
    publish(place);
    m_record.note(incarnation.id + " starts");
}

void Fleet::publish(Place& place)
{
    place.incarnation.entry.sequence += 1;
    m_store.put("servers/" + place.incarnation.id, entryText(place.incarnation.entry));
}

void Fleet::supervise(const std::stop_token& stop)
{
    SteadyTime publishedAt = steadyNow();
    while (!stop.stop_requested()) {
        std::this_thread::sleep_for(CheckInterval);
        const bool isDue = steadyNow() - publishedAt >= Heartbeat;
        if (isDue)
            publishedAt = steadyNow();
        std::lock_guard lock(m_mutex);
        for (Place& place : m_places) {
            if (place.server->isUp()) {
                if (isDue)
                    publish(place);
            } else if (steadyNow() - place.crashedAt >= m_downTime) {
                // The platform removes the entry of a server that is silent.
                m_store.remove("servers/" + place.incarnation.id);
                begin(place);
            }
        }
    }
}

} // namespace review
