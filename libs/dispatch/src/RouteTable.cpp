#include "dispatch/Dispatch.h"

#include <algorithm>

namespace citronspoke::dispatch {

RouteTable::RouteTable(fleet::Declaration declaration)
    : m_declaration(std::move(declaration))
{
    const std::vector<fleet::Route>& routes = m_declaration.routes;
    for (size_t index = 0; index < routes.size(); ++index)
        m_byHost[routes[index].host].push_back(index);
    for (auto& [host, indices] : m_byHost) {
        std::stable_sort(indices.begin(), indices.end(), [&routes](size_t left, size_t right) {
            return routes[left].prefix.size() > routes[right].prefix.size();
        });
    }
}

const fleet::Route* RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const size_t index : found->second) {
        const fleet::Route& route = m_declaration.routes[index];
        if (path.starts_with(route.prefix))
            return &route;
    }
    return nullptr;
}

const PoolId& choosePool(const fleet::Route& route, double draw)
{
    require(!route.pools.empty(), "a route has at least one pool");
    double total = 0;
    for (const fleet::PoolShare& share : route.pools)
        total += share.weight;
    double remaining = draw * total;
    for (const fleet::PoolShare& share : route.pools) {
        if (remaining < share.weight)
            return share.pool;
        remaining -= share.weight;
    }
    return route.pools.back().pool;
}

bool leadsTo(const fleet::Route& route, const PoolId& pool)
{
    return std::any_of(route.pools.begin(), route.pools.end(),
        [&pool](const fleet::PoolShare& share) { return share.pool == pool && share.weight > 0; });
}

} // namespace citronspoke::dispatch
