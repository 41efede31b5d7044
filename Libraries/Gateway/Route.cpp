#include <Gateway/Route.h>

namespace Radishplank {

const std::string &chooseService(const Route &route, double draw)
{
    return *chooseService(route, draw, [](const WeightedService &) { return true; });
}

} // namespace Radishplank
