#include "GatewayContext.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::gateway;

namespace {

std::shared_ptr<const dispatch::RouteTable> routesOf(bool hasOrganisations)
{
    fleet::Declaration declaration;
    declaration.pools.push_back({ PoolId("pool"), {}, 0, {}, {} });
    if (hasOrganisations)
        declaration.organisations.emplace();
    return std::make_shared<dispatch::RouteTable>(std::move(declaration));
}

} // namespace

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
