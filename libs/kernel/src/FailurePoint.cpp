#include "kernel/Kernel.h"

#include <csignal>
#include <map>

namespace citronspoke {

#ifdef CITRONSPOKE_FAILURE_POINTS

namespace {

    struct ArmedPoints {
        std::mutex mutex;
        std::map<std::string, int, std::less<>> remainingPasses;
    };

    ArmedPoints& armedPoints()
    {
        static ArmedPoints points;
        return points;
    }

    bool isDue(std::string_view name)
    {
        ArmedPoints& points = armedPoints();
        std::lock_guard lock(points.mutex);
        auto found = points.remainingPasses.find(name);
        if (found == points.remainingPasses.end())
            return false;
        found->second -= 1;
        return found->second == 0;
    }

    void arm(std::string_view item)
    {
        const size_t colon = item.find(':');
        const int pass
            = colon == std::string_view::npos ? 1 : std::stoi(std::string(item.substr(colon + 1)));
        ArmedPoints& points = armedPoints();
        std::lock_guard lock(points.mutex);
        points.remainingPasses[std::string(item.substr(0, colon))] = pass;
    }

} // namespace

void armFailurePoints(std::string_view specification)
{
    while (!specification.empty()) {
        const size_t comma = specification.find(',');
        arm(specification.substr(0, comma));
        specification = comma == std::string_view::npos ? std::string_view {}
                                                        : specification.substr(comma + 1);
    }
}

void failurePoint(std::string_view name)
{
    if (isDue(name))
        raise(SIGSTOP);
}

#else

void armFailurePoints(std::string_view) { }
void failurePoint(std::string_view) { }

#endif

} // namespace citronspoke
