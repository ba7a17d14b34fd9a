#pragma once

#include "RunHistory.h"
#include "fleet/Fleet.h"
#include "http1/Http1.h"

namespace citronspoke::soak {

/** What a caller asks for. */
enum class Work : uint8_t { Repeatable, Once, Stream, SingleStream };

/** A caller's answer, as far as it came. */
struct Answer {
    uint32_t status = 0;
    std::string body;
    bool isSigned = false;
    bool tellsWhenToReturn = false;
    bool isWhole = false;
};

/**
 * One caller, which keeps its connection as long as the gateway lets it and checks each answer.
 * It is used by one thread.
 */
class SoakCaller {
public:
    SoakCaller(std::string name, RunHistory& history);
    ~SoakCaller();
    SoakCaller(const SoakCaller&) = delete;
    SoakCaller& operator=(const SoakCaller&) = delete;

    /**
     * Makes one request.
     * @param isCalm only planned work goes on, so that no request may be cut.
     * @param leavesEarly closes the connection after the request was sent.
     */
    CallerResult ask(const fleet::Address& gateway, Work work, bool isCalm, bool leavesEarly);
    /** @return the answer to a GET of an application's path; status 0 when none came. */
    Answer look(const fleet::Address& gateway, const std::string& path);

private:
    bool connectTo(const fleet::Address& gateway);
    bool send(std::string_view bytes);
    Answer receive();
    void close();
    std::string nextAttempt(Work work);
    CallerResult judge(const std::string& attempt, Work work, const Answer& answer, bool isCalm);

    std::string m_name;
    RunHistory& m_history;
    uint64_t m_requests = 0;
    int m_descriptor = -1;
    fleet::Address m_gateway;
};

} // namespace citronspoke::soak
