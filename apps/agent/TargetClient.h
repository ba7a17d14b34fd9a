#pragma once

#include "Job.h"

namespace citronspoke::agent {

/** What the target beside this agent sends back. */
struct TokenArrived {
    RequestId request;
    transport::StreamId stream;
    uint32_t offset = 0;
    std::string text;
};
struct CallEnded {
    RequestId request;
    transport::StreamId stream;
    transport::StreamEnd end;
    /** For completions: the engine marked the end of the answer. */
    bool isWhole = false;
    /** For service calls. */
    std::string body;
};

/** Hands jobs to the target over HTTP. Callbacks come on the client's own thread. */
class TargetClient {
public:
    struct Callbacks {
        std::function<void(TokenArrived)> onToken;
        std::function<void(CallEnded)> onEnd;
    };

    /** @param target "http://IP:PORT". */
    TargetClient(std::string target, Callbacks callbacks);

    /** Starts a job's call. @return its stream. */
    transport::StreamId start(const Job& job);
    void cancel(transport::StreamId stream);

private:
    transport::StreamId startCompletion(const Job& job);
    transport::StreamId startServiceCall(const Job& job);

    std::string m_target;
    Callbacks m_callbacks;
    transport::StreamClient m_client;
};

} // namespace citronspoke::agent
