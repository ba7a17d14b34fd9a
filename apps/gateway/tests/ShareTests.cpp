#include "RequestHandler.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;

namespace {

std::shared_ptr<const dispatch::RouteTable> routesOf(bool hasOrganisations)
{
    fleet::Declaration declaration;
    declaration.pools.push_back({ PoolId("pool"), {}, 0, {}, {} });
    fleet::Route route;
    route.name = "route";
    route.host = "host";
    route.prefix = "/";
    route.timeout = Milliseconds(1500);
    route.latencyObjective = Milliseconds(120);
    route.pools.push_back({ PoolId("pool"), 1 });
    declaration.routes.push_back(std::move(route));
    if (hasOrganisations)
        declaration.organisations.emplace();
    return std::make_shared<dispatch::RouteTable>(std::move(declaration));
}

/** Keeps the status and the headers of a response. */
class RecordingWriter final : public ResponseWriter {
public:
    void respond(uint32_t newStatus, std::string_view, const http1::Headers& newHeaders,
        std::shared_ptr<const http1::Body>) override
    {
        status = newStatus;
        headers = newHeaders;
    }
    void beginBody(uint32_t newStatus, std::string_view, const http1::Headers&) override
    {
        status = newStatus;
    }
    void writeBody(std::string_view) override { }
    void endBody() override { }
    void abort() override { }

    uint32_t status = 0;
    http1::Headers headers;
};

/** A gateway with one target of six slots, at which runs take 500 ms. */
struct FullTarget {
    explicit FullTarget(bool hasOrganisations, uint32_t requests)
        : context(loop, settings)
    {
        context.routes = routesOf(hasOrganisations);
        fleet::TargetRecord record;
        record.id = Target;
        record.pool = PoolId("pool");
        record.address = { "127.0.0.1", 9 };
        record.slots = 6;
        context.directory.put(record);
        context.directory.noteStarted(Target, { requests, {}, 0 });
        if (PoolShares* poolShares = context.sharesOf(PoolId("pool")))
            poolShares->noteRun(Milliseconds(500));
        http1::RequestHead head;
        head.method = "GET";
        head.target = "/x";
        head.headers.add("Host", "host");
        head.headers.add("X-Attempt-Id", "a1");
        handler = std::make_shared<RequestHandler>(
            context, ReceivedRequest { head, {}, steadyNow() }, writer);
        handler->start();
    }

    inline static const TargetId Target { "target" };
    channels::EventLoop loop;
    settings::GatewaySettings settings;
    GatewayContext context;
    RecordingWriter writer;
    std::shared_ptr<RequestHandler> handler;
};

} // namespace

// Guards against requests that wait at a target although their callers will have gone.
Test(admission, refuses_at_once_what_cannot_be_served_in_time)
{
    FullTarget full(true, 60);
    cr_assert_eq(full.writer.status, 503U);
    const std::string retryAfter(full.writer.headers.find("Retry-After").value_or(""));
    cr_assert_not(retryAfter.empty());
    cr_assert_leq(std::stod(retryAfter), 0.5);
    cr_assert_eq(full.context.directory.find(FullTarget::Target)->ownLoad.requests, 60U);
}

// Guards against refusals where there is room, or where no organisations are declared.
Test(admission, leaves_other_requests_alone)
{
    FullTarget free(true, 3);
    cr_assert_eq(free.writer.status, 0U);
    cr_assert_eq(free.context.directory.find(FullTarget::Target)->ownLoad.requests, 4U);
    FullTarget without(false, 60);
    cr_assert_eq(without.writer.status, 0U);
    cr_assert_eq(without.context.directory.find(FullTarget::Target)->ownLoad.requests, 61U);
}

// Guards against shares in deployments that declare no organisations.
Test(shares, exist_only_where_the_declaration_has_organisations)
{
    channels::EventLoop loop;
    const settings::GatewaySettings settings;
    GatewayContext context(loop, settings);
    cr_assert_null(context.sharesOf(PoolId("pool")));
    context.routes = routesOf(false);
    cr_assert_null(context.sharesOf(PoolId("pool")));
    context.routes = routesOf(true);
    cr_assert_not_null(context.sharesOf(PoolId("pool")));
    cr_assert_eq(context.poolShares.size(), 1U);
    context.routes = routesOf(false);
    cr_assert_null(context.sharesOf(PoolId("pool")));
    cr_assert(context.poolShares.empty());
}

// Guards against a pool that is taken for idle while its targets are full.
Test(shares, follow_the_load_of_the_pool)
{
    PoolShares poolShares(EntryId("g"), PoolId("pool"));
    dispatch::TargetState target;
    target.record.slots = 6;
    target.ownLoad.requests = 3;
    const std::vector<dispatch::TargetState*> targets { &target };
    const SteadyTime start { std::chrono::hours(1) };
    poolShares.refresh(targets, {}, start);
    cr_assert(poolShares.state().isIdle());
    cr_assert_not(poolShares.fairShares.isShort(start));
    target.ownLoad.requests = 9;
    poolShares.refresh(targets, {}, start + Milliseconds(100));
    cr_assert_not(poolShares.state().isIdle());
    cr_assert(poolShares.fairShares.isShort(start + Milliseconds(100)));
}
