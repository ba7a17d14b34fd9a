#pragma once

#include "Job.h"

namespace citronspoke::agent {

/** An output token of a completion. */
struct TokenArrived {
    RequestId request;
    transport::StreamId stream;
    uint32_t offset = 0;
    std::string text;
};
/** A call to the target has ended, successfully or not. */
struct CallEnded {
    RequestId request;
    transport::StreamId stream;
    transport::StreamEnd end;
    /** The answer is complete; for completions, the engine has sent its end marker. */
    bool isComplete = false;
    /** The response body; service calls only. */
    std::string body;
};

/** Sends jobs to the target over HTTP. Callbacks run on the client's own thread. */
class TargetClient {
public:
    struct Callbacks {
        std::function<void(TokenArrived)> onToken;
        std::function<void(CallEnded)> onEnd;
    };

    /** @param target "http://IP:PORT". */
    TargetClient(std::string target, Callbacks callbacks);

    /** Starts the call of a job. @return its stream. */
    transport::StreamId start(const Job& job);
    void cancel(transport::StreamId stream);

private:
    transport::StreamId startCompletion(const Job& job);
    transport::StreamId startServiceCall(const Job& job);

    std::string m_targetUrl;
    Callbacks m_callbacks;
    transport::StreamClient m_client;
};

} // namespace citronspoke::agent
