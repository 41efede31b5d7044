#include <Gateway/Route.h>

namespace Radishplank {

const std::string &chooseService(const Route &route, double draw)
{
    double total = 0;
    for (const auto &service : route.services)
        total += service.weight;
    double rest = draw * total;
    for (const auto &service : route.services) {
        rest -= service.weight;
        if (rest < 0)
            return service.name;
    }
    return route.services.back().name;
}

} // namespace Radishplank
