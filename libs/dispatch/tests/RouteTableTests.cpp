#include "dispatch/Dispatch.h"

#include <criterion/criterion.h>

using namespace citronspoke;
using namespace citronspoke::dispatch;

namespace {

fleet::Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    fleet::Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.pools = { { PoolId("one"), 90 }, { PoolId("two"), 10 } };
    return result;
}

} // namespace

Test(routes, the_longest_prefix_of_the_host_wins)
{
    fleet::Declaration declaration;
    declaration.routes = { route("short", "h", "/a/"), route("long", "h", "/a/b/"),
        route("other", "o", "/a/b/c/") };
    const RouteTable table(declaration);
    cr_assert(table.match("h", "/a/b/c/d")->name == "long");
    cr_assert(table.match("h", "/a/x?y=/a/b/")->name == "short");
    cr_assert_null(table.match("h", "/ab/"));
    cr_assert_null(table.match("h", "/a"));
    cr_assert_null(table.match("unknown", "/a/"));
}

Test(routes, traffic_is_split_by_weight)
{
    const fleet::Route split = route("r", "h", "/");
    cr_assert(choosePool(split, 0) == PoolId("one"));
    cr_assert(choosePool(split, 0.89) == PoolId("one"));
    cr_assert(choosePool(split, 0.91) == PoolId("two"));
    cr_assert(choosePool(split, 0.9999) == PoolId("two"));
}

Test(routes, lead_to_the_pools_that_get_requests)
{
    fleet::Route split = route("r", "h", "/");
    cr_assert(leadsTo(split, PoolId("one")) && leadsTo(split, PoolId("two")));
    cr_assert_not(leadsTo(split, PoolId("three")));
    split.pools.back().weight = 0;
    cr_assert_not(leadsTo(split, PoolId("two")));
}
