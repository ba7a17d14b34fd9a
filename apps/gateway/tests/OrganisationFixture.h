#pragma once

#include "GatewayFixture.h"

namespace citronspoke::gateway::tests {

inline const std::string KeyOfA = "key-of-a-51c7";
inline const std::string KeyOfB = "key-of-b-90ee";

/** @return the header line with a key. */
inline std::string keyLine(const std::string& key)
{
    return "Authorization: Token " + key + "\r\n";
}

/** Gateways with organisations "a" and "b", each with one key. */
class OrganisationFixture : public GatewayFixture {
public:
    OrganisationFixture()
    {
        setOrganisation("a", { KeyOfA });
        setOrganisation("b", { KeyOfB });
    }

    /** @return status of the response to a request with a key for no route: 404 with a known key.
     */
    uint32_t statusOf(const std::string& key, size_t gateway = 0) const
    {
        Caller caller(callers(gateway));
        caller.send(requestText("GET", "/none", "probe", keyLine(key)));
        return caller.receive().status;
    }

    /** Declares that organisation "a" has no key any more, and waits until that is in force. */
    void removeKeyOfA(int version)
    {
        setOrganisation("a", {});
        declare(version);
        waitUntil([this] { return statusOf(KeyOfA) == 401; });
    }

    /** Starts gateways and waits until they are ready. */
    void startReady(size_t count = 1)
    {
        start(count);
        for (size_t gateway = 0; gateway < count; ++gateway)
            waitUntil([&] { return readiness(gateway) == 200; });
    }

    /** @return whether any request that a target received holds the text. */
    bool wasSentToTargets(std::string_view text) const
    {
        for (const SeenRequest& seenRequest : seen()) {
            if (seenRequest.request.head.target.find(text) != std::string::npos
                || seenRequest.request.body.find(text) != std::string::npos)
                return true;
            for (const http1::Header& header : seenRequest.request.head.headers.entries()) {
                if (header.value.find(text) != std::string::npos
                    || header.name.find(text) != std::string::npos)
                    return true;
            }
        }
        return false;
    }
};

} // namespace citronspoke::gateway::tests
