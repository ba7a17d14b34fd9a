#pragma once

#include "Http.h"

#include <map>
#include <set>

namespace review {

/**
 * Sound model engines of the service "llm", each at an address of its own, served by one thread.
 * They answer at once: a prefill with a handle, everything else with a stream of one event.
 */
class ModelFleet {
public:
    ModelFleet();
    ~ModelFleet();
    ModelFleet(const ModelFleet&) = delete;
    ModelFleet& operator=(const ModelFleet&) = delete;

    /** Starts an engine. @param phase "prefill" or "decode". @return its entry in the store. */
    std::string start(const std::string& id, const std::string& phase);
    /** Ends an engine like a crash: its channels are closed, its address refuses new ones. */
    void crash(const std::string& id);

private:
    struct Channel {
        std::string engine;
        std::string received;
    };

    void run();
    void acceptAt(int listener);
    void readFrom(int descriptor);
    static bool answer(int descriptor, const Request& request, uint64_t number);

    std::mutex m_mutex;
    std::map<int, std::string> m_listeners;
    std::map<int, Channel> m_channels;
    uint64_t m_answers = 0;
    int m_poll;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace review
