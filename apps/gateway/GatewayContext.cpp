#include "GatewayContext.h"

namespace citronspoke::gateway {

GatewayContext::GatewayContext(
    channels::EventLoop& loop, const settings::GatewaySettings& settings)
    : loop(loop)
    , settings(settings)
    , zone(settings.zone)
    , targets(loop, {})
    , retries({ settings.retries.share, settings.retries.fixedPart, settings.retries.window })
    , m_random(std::random_device {}())
{
}

double GatewayContext::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

} // namespace citronspoke::gateway
