#pragma once

#include "FakeDocuments.h"
#include "FakeFleetStore.h"
#include "Gateway.h"
#include "PortPicker.h"

namespace citronspoke::gateway::tests {

using fakes::RouteOptions;

/** A request that a fake target received. */
struct SeenRequest {
    std::string target;
    fakes::FakeRequest request;
};

/** A gateway with a fake store and fake targets, on free ports of this machine. */
class GatewayFixture {
public:
    /** Handles a request at a fake target. */
    using Script = std::function<void(const fakes::FakeRequest&, fakes::FakeConnection&)>;

    GatewayFixture();
    ~GatewayFixture();

    void addRoute(const std::string& prefix, const RouteOptions& options);
    /** The next declarations have no routes but those that are added from now on. */
    void removeRoutes() { m_routes = nlohmann::json::array(); }
    /** Sets an organisation of the next declarations and its keys. */
    void setOrganisation(const std::string& name, const std::vector<std::string>& keys,
        std::optional<int> priority = std::nullopt);
    /** The next declarations have no organisations. */
    void removeOrganisations() { m_organisations = nullptr; }
    /** Sets a limit on callers, by its name in the next declarations. */
    void setLimit(const std::string& name, size_t value) { m_limits[name] = value; }
    /** Writes the declaration with the routes added so far. */
    void declare(int version);
    /** @return the document that declare() writes. */
    std::string declarationText(int version) const;
    /**
     * @param role empty for an application.
     * @param version of the target's software.
     * @param startedAt milliseconds since 1970; 0 when the record does not tell.
     */
    void addTarget(const std::string& id, const std::string& service, Script script,
        const std::string& role = {}, const std::string& version = "v1", int64_t startedAt = 0);
    /** Sets the cached prompt parts that an engine reports: tokens by part id. */
    void setCachedParts(const std::string& id, const std::map<std::string, int>& parts);
    /** @return whether a target was queried for its cached prompt parts. */
    bool wasCacheQueried(const std::string& id) const;
    /** Sends the first gateway a datagram, as another process would. */
    void sendDatagram(std::string_view datagram);
    /** Sends the gateway a report of an engine's role, as its sidecar would. */
    void reportRole(const std::string& id, EngineRole role, bool isChanging);
    /** Receives the gateway's requests to sidecars; all engines of the fixture share one port. */
    fleet::Address sidecars() const { return { "127.0.0.1", m_sidecarPort }; }
    /** A gateway that is started later calls the store at its second address. */
    void useSecondStoreAddress(size_t number) { m_secondAddressUsers.insert(number); }
    /** Gateways that are started later refuse keys when their declaration is not confirmed. */
    void refuseUnconfirmedKeys(Milliseconds revokeTime) { m_revokeTime = revokeTime; }
    /** Starts gateways, beside those that run, without waiting until they are ready. */
    void start(size_t count = 1);
    void stopGateway()
    {
        m_gateways.front()->loop.post([this] { m_gateways.front()->gateway->beginStop(); });
    }
    /** Changes the settings of gateways before they start; unset for none. @param number from 0. */
    std::function<void(size_t number, settings::GatewaySettings&)> adjustSettings;
    /** Supplies the clocks of gateways; unset for those of the machine. */
    std::function<Clocks(size_t number)> clocks;
    /** Runs a task on the thread of a gateway, which does nothing else meanwhile. */
    void post(size_t number, std::function<void(Gateway&)> task);
    /** Starts a gateway anew that was killed. */
    void restartGateway(size_t number) { m_gateways.at(number) = startGateway(number); }
    /** Ends a gateway as if it were killed. @param number from 0. */
    void killGateway(size_t number) { m_gateways.at(number).reset(); }

    /** Of the gateways that are started from now on. */
    void setRetryLimits(const settings::RetryLimits& limits) { m_retryLimits = limits; }

    fakes::FakeFleetStore& store() { return m_store; }
    /** @return where callers connect to a gateway. @param gateway its number, from 0. */
    fleet::Address callers(size_t gateway = 0) const
    {
        return fleet::requireAddress(m_gateways.at(gateway)->settings.callers);
    }
    /** @return where a gateway serves operators and other gateways. */
    fleet::Address operatorAddress(size_t gateway) const
    {
        return fleet::requireAddress(m_gateways.at(gateway)->settings.operatorAddress);
    }
    /** @return the status of a gateway's readiness page. */
    uint32_t readiness(size_t gateway = 0) const;
    std::vector<SeenRequest> seen() const;
    /** @return how many requests a target received. */
    size_t seenBy(const std::string& target) const;
    /** @return connections that the first target has accepted. */
    size_t connectionsOfFirst() const { return m_targets.front()->connections(); }
    /** Waits until a condition holds; the test fails when it never does. */
    static void waitUntil(const std::function<bool()>& condition);

private:
    struct RunningGateway {
        ~RunningGateway();

        settings::GatewaySettings settings;
        channels::EventLoop loop;
        std::unique_ptr<Gateway> gateway;
        std::jthread thread;
    };

    std::unique_ptr<RunningGateway> startGateway(size_t number);
    void sendCacheList(const std::string& id, fakes::FakeConnection& connection);

    fakes::FakeFleetStore m_store;
    nlohmann::json m_routes = nlohmann::json::array();
    /** By name; those that are not set have the values of the fake document. */
    nlohmann::json m_limits = nlohmann::json::object();
    /** By name; null while the declarations have no organisations. */
    nlohmann::json m_organisations;
    mutable std::mutex m_mutex;
    std::vector<SeenRequest> m_seen;
    std::map<std::string, std::map<std::string, int>> m_cachedParts;
    std::set<std::string> m_cacheQueried;
    std::vector<std::unique_ptr<fakes::FakeHttpServer>> m_targets;
    localfleet::PortPicker m_ports;
    uint16_t m_sidecarPort;
    std::set<size_t> m_secondAddressUsers;
    std::optional<Milliseconds> m_revokeTime;
    settings::RetryLimits m_retryLimits { 10, 100, Milliseconds(10000) };
    std::vector<std::unique_ptr<RunningGateway>> m_gateways;
};

/** The response to a caller, as far as it arrived. */
struct CallerResponse {
    uint32_t status = 0;
    http1::Headers headers;
    std::string body;
    /** The end of the response was received. */
    bool isComplete = false;
};

/**
 * @param usedBytes set to the number of bytes of the first response, unless null.
 * @return the first response in the bytes, as far as it arrived.
 */
CallerResponse parseResponse(std::string_view bytes, size_t* usedBytes = nullptr);

/** A caller's connection. */
class Caller {
public:
    explicit Caller(const fleet::Address& gateway);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void send(std::string_view bytes);
    /** Reads one response, or up to the end of the connection. */
    CallerResponse receive();
    /** Reads up to the end of the connection; for large responses, which are parsed once. */
    CallerResponse receiveToEnd();
    /** Reads up to the end of the connection. @return the bytes. */
    std::string receiveRest();
    /** Reads until the bytes so far end with @p end. @return the bytes. */
    std::string receiveUntil(std::string_view end);
    void close();

private:
    int m_descriptor;
    /** Received after the last response that was returned. */
    std::string m_received;
};

/** @return a request with an attempt id and a deadline; extra lines end with CRLF. */
std::string requestText(const std::string& method, const std::string& path,
    const std::string& attempt, const std::string& extraLines = {}, const std::string& body = {});
/** @return the response to a request that is sent on a connection of its own. */
CallerResponse sendRequest(const GatewayFixture& fixture, const std::string& request);

inline const RouteOptions AtMostOnce { "non_idempotent" };
inline const RouteOptions Repeatable { "idempotent" };
/** Starts a gateway with two applications, "one" and "two", behind the route "/a/". */
void startTwoTargets(
    GatewayFixture& fixture, const RouteOptions& options, const GatewayFixture::Script& script);

/** Responds with the target's signature, as healthy targets do. */
void answerSigned(const fakes::FakeRequest& request, fakes::FakeConnection& connection,
    std::string_view body = "ok");
/** Like answerSigned() with its default body, for use as a target's script. */
void answerOk(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
/** Refuses the request with a 503 and the "not run" guarantee. */
void refuseNotExecuted(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
/** Header lines of a request with a prompt. */
inline const std::string PromptLines = "X-Model: m\r\nX-Token-Counts: 1460,80\r\n"
                                       "X-Prefix-Hash: 5c1e:800,91bd:660\r\n";
/** Prefills the prompt of a request, or releases one. */
void prefillPrompt(const fakes::FakeRequest& request, fakes::FakeConnection& connection);
/** Like prefillPrompt() with further fields in the response. */
void prefillPromptWith(
    http1::Headers headers, const fakes::FakeRequest& request, fakes::FakeConnection& connection);
/** @return one event of a stream. */
std::string eventText(int id);
/** Sends the head of a signed stream and its events with these ids, without the stream's end. */
void sendEvents(
    const fakes::FakeRequest& request, fakes::FakeConnection& connection, int first, int last);

} // namespace citronspoke::gateway::tests
